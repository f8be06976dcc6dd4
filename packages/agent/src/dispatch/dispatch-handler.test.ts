import {setImmediate as waitImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  ConnectionCheck,
  createCounters,
  createSuspectRequests,
} from '@nutmeggauge/core';
import {CrashGuard} from '../crashes/crash-guard.js';
import {createLanes} from '../lanes/lanes.js';
import {createLedger} from '../ledger/ledger.js';
import {createKeyOwnership} from '../ledger/ownership.js';
import {TargetClient} from '../target/target.js';
import {DispatchHandler} from './dispatch-handler.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

const DONE = {status: 'done', chunks: 0, tokens: 0, cachedTokens: 0} as const;

/** A target whose runs end only when the test finishes them. */
class ManualTarget extends TargetClient {
  readonly runs: string[] = [];
  private readonly resolvers: Array<(outcome: DispatchOutcome) => void> = [];

  constructor() {
    super('held');
  }

  run(request: DispatchRequest): Promise<DispatchOutcome> {
    this.runs.push(request.requestId);
    return new Promise(resolve => this.resolvers.push(resolve));
  }

  async finishOldestRun(): Promise<void> {
    // A dispatched request reaches the target a few microtasks later.
    await waitImmediate();
    this.resolvers.shift()?.(DONE);
  }
}

function createTestHandler(recordVersion = 1) {
  const target = new ManualTarget();
  const handler = new DispatchHandler({
    target,
    lanes: createLanes({short: 1, long: 1}),
    ledger: createLedger(),
    ownership: createKeyOwnership({
      targetId: 'plain-1',
      bornAt: -Infinity,
      retainMs: 60_000,
    }),
    crashGuard: new CrashGuard({
      targetId: 'plain-1',
      address: {host: '127.0.0.1', port: 1},
      serverCheck: new ConnectionCheck(),
      suspects: createSuspectRequests(),
      readNow: Date.now,
    }),
    counters: createCounters(),
    shortMaxTokens: 100,
    readRecordVersion: () => recordVersion,
    onLoadChange: () => {},
  });
  const send = (requestId: string, overrides: Partial<DispatchRequest> = {}) =>
    handler.dispatch(
      {
        requestId,
        account: 'a',
        pool: 'orders',
        kind: 'call',
        deadlineAt: Date.now() + 60_000,
        notRepeatable: true,
        ledgerKey: 'a:order-1',
        keyed: true,
        keyMintedAt: Date.now(),
        recordVersion: 1,
        attempt: 1,
        ...overrides,
      },
      send,
      () => {},
    );
  return {handler, target, send};
}

describe('dispatch handling by the agent', () => {
  it('runs only one of two duplicate requests that arrive together and answers both', async () => {
    // Guards against two runs of one key when the second duplicate arrives
    // before the first has claimed the key.
    const {target, send} = createTestHandler();
    const both = Promise.all([send('r1'), send('r2')]);
    await target.finishOldestRun();
    expect((await both).map(outcome => outcome.status)).toEqual([
      'done',
      'done',
    ]);
    expect(target.runs).toEqual(['r1']);
  });

  it('answers a queued request as not run, without running it, when it is cancelled', async () => {
    // Guards against a queued request that still runs after its cancellation.
    const {handler, target, send} = createTestHandler();
    const repeatable = {
      notRepeatable: false,
      ledgerKey: undefined,
      keyed: false,
    };
    const first = send('r1', repeatable);
    const queued = send('r2', repeatable);
    handler.cancel('r2');
    await target.finishOldestRun();
    await first;
    expect(await queued).toEqual({
      status: 'not-run',
      reason: 'cancelled_in_queue',
      retryAfterMs: undefined,
    });
    expect(target.runs).toEqual(['r1']);
  });

  it('refuses a keyed request from a gate whose configuration record is newer', async () => {
    // Guards against running a key whose home has moved to another target in
    // the newer record.
    const {target, send} = createTestHandler(1);
    const outcome = await send('r1', {recordVersion: 2});
    expect(outcome).toEqual({
      status: 'not-run',
      reason: 'agent_config_behind',
      retryAfterMs: 500,
    });
    expect(target.runs).toEqual([]);
  });

  it('answers a request and its duplicates as unknown when the first run throws', async () => {
    // Guards against an unhandled rejection that ends the agent when a
    // duplicate waits for a run that throws.
    const {handler, target, send} = createTestHandler();
    target.run = async () => {
      await waitImmediate();
      throw new TypeError('x is undefined');
    };
    const outcomes = await Promise.all([send('r1'), send('r2')]);
    expect(outcomes.map(outcome => outcome.status)).toEqual([
      'unknown',
      'unknown',
    ]);
    expect((await send('r3')).status).toEqual('unknown');
    expect(handler.size).toEqual(0);
  });
});
