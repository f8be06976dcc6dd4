import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CRASHING_BODY, openCrashFleet} from '../test/crash-fleet.js';

/** Most servers that may end under one request. */
const MAX_CRASHES = 3;

/** Number of times that the caller sends the request again. */
const REPEATS = 9;

describe('request under which servers crash', () => {
  it('reaches no server any more after three have crashed, from whichever gate', async () => {
    // Guards against a request that ends server after server because each gate
    // takes every retry for a new request.
    const fleet = await openCrashFleet({gates: 3, targets: 12});
    try {
      for (let i = 0; i < REPEATS; i++)
        await fleet.call({gate: i % 3, body: CRASHING_BODY});
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      expect(fleet.countReceived(CRASHING_BODY) <= MAX_CRASHES).toEqual(true);
    } finally {
      fleet.close();
    }
  });

  it('is refused with a time to come back, and requests beside it are served', async () => {
    // Guards against a caller that is told to retry at once, and against
    // refusing the other requests of the same account.
    const fleet = await openCrashFleet({gates: 3, targets: 12});
    try {
      for (let i = 0; i < MAX_CRASHES; i++)
        await fleet.call({gate: i % 3, body: CRASHING_BODY});
      const refused = await fleet.call({gate: 2, body: CRASHING_BODY});
      expect(refused.status).toEqual(503);
      expect(Number(refused.retryAfter) > 60).toEqual(true);
      const answers = await Promise.all(
        [0, 1, 2].map(gate => fleet.call({gate, body: 'sound'})),
      );
      expect(answers.map(answer => fleet.isWholeStream(answer))).toEqual([
        true,
        true,
        true,
      ]);
    } finally {
      fleet.close();
    }
  });
});
