import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import {resolveEngineOptions} from './options.js';
import {EngineScheduler} from './scheduler.js';

const silent = {onToken: () => {}, onDone: () => {}, onFail: () => {}};

describe('KV cache of the engine stand-in', () => {
  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'Date']});
  });
  afterEach(() => {
    mock.timers.reset();
  });

  it('releases a reservation when its lease expires without a cancel', () => {
    // Guards against KV cache that stays reserved forever after the caller
    // disappears.
    const scheduler = new EngineScheduler(resolveEngineOptions({id: 'e'}));
    scheduler.submit(
      {
        requestId: 'r1',
        prompt: 'x'.repeat(4000),
        maxTokens: 1_000_000,
        priority: 0,
        leaseMs: 500,
      },
      silent,
    );
    mock.timers.tick(400);
    expect(scheduler.readLoad().kvUsedTokens).toEqual(1_001_000);
    mock.timers.tick(200);
    expect(scheduler.readLoad().kvUsedTokens).toEqual(0);
  });
});
