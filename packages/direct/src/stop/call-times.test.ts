import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CallTimes} from './call-times.js';

/** Time after which no answer is remembered, in ms. */
const FORGOTTEN_MS = 60_000;

function createBed() {
  const clock = {now: 0};
  return {clock, times: new CallTimes(() => clock.now)};
}

describe('times of recent calls', () => {
  it('are those of the longest answered call of the route', () => {
    const {clock, times} = createBed();
    for (const ms of [100, 5800, 200]) {
      const call = times.begin('r');
      clock.now += ms;
      call.finish();
    }
    expect(times.readLongestMs('r')).toEqual(5800);
    expect(times.readLongestMs('other')).toEqual(0);
  });

  it('count open calls with their time so far, and not those that were dropped', () => {
    // Guards against a target that has become slow and has answered nothing since.
    const {clock, times} = createBed();
    const [first, second] = [times.begin('r'), times.begin('r')];
    clock.now = 4000;
    expect(times.readLongestMs('r')).toEqual(4000);
    first.drop();
    second.drop();
    expect(times.readLongestMs('r')).toEqual(0);
  });

  it('are kept for half a minute and forgotten after a minute', () => {
    // Guards against a slow call that is remembered for the life of the gate.
    const {clock, times} = createBed();
    const call = times.begin('r');
    clock.now = 5000;
    call.finish();
    clock.now += FORGOTTEN_MS / 2;
    expect(times.readLongestMs('r')).toEqual(5000);
    clock.now += FORGOTTEN_MS / 2;
    expect(times.readLongestMs('r')).toEqual(0);
  });
});
