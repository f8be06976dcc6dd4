import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {createCounters} from '@nutmeggauge/core';
import {expect} from 'earl';
import {createDecisionLog} from '../observe/decision-log.js';
import {TargetRests} from './target-rests.js';

/** Rest that the target asks for, in ms. */
const REST_MS = 1000;

function createHarness() {
  const clock = {now: 0};
  const events: string[] = [];
  const output = new Writable({
    write: (chunk, _, done) => {
      events.push(String(JSON.parse(String(chunk)).event));
      done();
    },
  });
  const rests = new TargetRests({
    readNow: () => clock.now,
    log: createDecisionLog({proc: 'g', output, readWallMs: () => 0}),
    counters: createCounters(),
  });
  return {clock, events, rests};
}

describe('rests of targets', () => {
  it('rests again if the trial right after a rest is refused', () => {
    // Guards against a rest that is lost because it follows another at once.
    const {clock, events, rests} = createHarness();
    rests.recordAnswer('t1', 503, REST_MS);
    clock.now += REST_MS;
    expect(rests.claim('t1')).toEqual(true);
    rests.recordAnswer('t1', 503, REST_MS);
    expect(rests.isResting('t1')).toEqual(true);
    expect(rests.readWaitMs('t1')).toEqual(REST_MS);
    rests.expire();
    expect(events).toEqual([
      'target_rests',
      'target_rest_over',
      'target_rests',
    ]);
  });

  it('lets one request at a time try the target, each for a second', () => {
    const {clock, rests} = createHarness();
    rests.recordAnswer('t1', 503, REST_MS);
    clock.now += REST_MS;
    expect([rests.claim('t1'), rests.claim('t1')]).toEqual([true, false]);
    clock.now += 1000;
    expect([rests.claim('t1'), rests.claim('t1')]).toEqual([true, false]);
    rests.recordAnswer('t1', 200, undefined);
    expect([rests.claim('t1'), rests.claim('t1')]).toEqual([true, true]);
  });

  it('ends with no answer to a request that was sent before it', () => {
    // Guards against a rest that the answers to running requests cut short.
    const {clock, rests} = createHarness();
    rests.recordAnswer('t1', 503, REST_MS);
    clock.now += REST_MS / 2;
    rests.recordAnswer('t1', 200, undefined);
    expect(rests.isResting('t1')).toEqual(true);
  });

  it('keeps the later end of two refusals, and forgets the target a minute after it', () => {
    const {clock, events, rests} = createHarness();
    rests.recordAnswer('t1', 503, 3 * REST_MS);
    rests.recordAnswer('t1', 503, REST_MS);
    expect(rests.readWaitMs('t1')).toEqual(3 * REST_MS);
    clock.now += 3 * REST_MS;
    rests.expire();
    expect(rests.size).toEqual(1);
    clock.now += 60_000;
    rests.expire();
    expect(rests.size).toEqual(0);
    expect(events).toEqual(['target_rests', 'target_rest_over']);
  });
});
