import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GREY_SHARE, createTargetHealth} from './target-health.js';

describe('target health', () => {
  it('takes a silent target out at once and tries it again later', () => {
    const health = createTargetHealth();
    health.recordFailure('t', 0, true);
    expect(health.isSuspended('t', 500)).toEqual(true);
    expect(health.isSuspended('t', 900)).toEqual(false);
  });

  it('waits longer after each failed trial', () => {
    const health = createTargetHealth();
    health.recordFailure('t', 0, true);
    health.recordFailure('t', 1000, true);
    expect(health.isSuspended('t', 2000)).toEqual(true);
  });

  it('notices a target that fails half of its requests', () => {
    // Guards against a target that fails half of its requests, but never twice
    // in a row.
    const health = createTargetHealth();
    for (let i = 0; i < 20; i++) {
      health.recordFailure('t', i, false);
      health.recordSuccess('t');
    }
    expect(health.readFailureShare('t') > GREY_SHARE).toEqual(true);
    expect(health.isSuspended('t', 20)).toEqual(false);
  });
});
