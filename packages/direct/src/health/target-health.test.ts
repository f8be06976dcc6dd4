import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DEGRADED_FAILURE_SHARE, createTargetHealth} from './target-health.js';

describe('TargetHealth', () => {
  it('suspends an unreachable target after one failure for a limited time', () => {
    const health = createTargetHealth();
    health.recordFailure('t', 0, true);
    expect(health.isSuspended('t', 500)).toEqual(true);
    expect(health.isSuspended('t', 900)).toEqual(false);
  });

  it('suspends a target for longer after each failed probe', () => {
    const health = createTargetHealth();
    health.recordFailure('t', 0, true);
    health.recordFailure('t', 1000, true);
    expect(health.isSuspended('t', 2000)).toEqual(true);
  });

  it('reports a high failure share, without suspension, if every other request fails', () => {
    // Guards against a target that is never suspended because it fails half of
    // its requests, but never two in a row.
    const health = createTargetHealth();
    for (let i = 0; i < 20; i++) {
      health.recordFailure('t', i, false);
      health.recordSuccess('t');
    }
    expect(health.readFailureShare('t') > DEGRADED_FAILURE_SHARE).toEqual(true);
    expect(health.isSuspended('t', 20)).toEqual(false);
  });
});
