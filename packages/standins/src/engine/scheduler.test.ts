import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import {resolveEngineOptions} from './options.js';
import {EngineScheduler} from './scheduler.js';

const silent = {onToken: () => {}, onDone: () => {}, onFail: () => {}};

describe('engine memory', () => {
  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'Date']});
  });
  afterEach(() => {
    mock.timers.reset();
  });

  it('comes back when its lease expires, though nobody cancels', () => {
    // Guards against KV cache that a vanished caller holds for good.
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
