import {setImmediate as waitImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createCounters} from '@nutmeggauge/core';
import {createLanes} from '../lanes/lanes.js';
import {createLedger} from '../ledger/ledger.js';
import {createKeyOwnership} from '../ledger/ownership.js';
import {TargetClient} from '../target/target.js';
import {Intake} from './intake.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

const DONE = {status: 'done', chunks: 0, tokens: 0, cachedTokens: 0} as const;

/** A target whose runs end when the test says so. */
class HeldTarget extends TargetClient {
  readonly runs: string[] = [];
  private readonly ends: Array<(outcome: DispatchOutcome) => void> = [];

  constructor() {
    super('held');
  }

  run(request: DispatchRequest): Promise<DispatchOutcome> {
    this.runs.push(request.requestId);
    return new Promise(resolve => this.ends.push(resolve));
  }

  async endOldest(): Promise<void> {
    // The request reaches the target a few microtasks after its dispatch.
    await waitImmediate();
    this.ends.shift()?.(DONE);
  }
}

function createIntake(recordVersion = 1) {
  const target = new HeldTarget();
  const intake = new Intake({
    target,
    lanes: createLanes({short: 1, long: 1}),
    ledger: createLedger(),
    ownership: createKeyOwnership({
      targetId: 'plain-1',
      bornAt: -Infinity,
      retainMs: 60_000,
    }),
    counters: createCounters(),
    shortMaxTokens: 100,
    readRecordVersion: () => recordVersion,
    onWorkChange: () => {},
  });
  const send = (requestId: string, more: Partial<DispatchRequest> = {}) =>
    intake.dispatch(
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
        ...more,
      },
      send,
      () => {},
    );
  return {intake, target, send};
}

describe('intake', () => {
  it('runs one of two copies that arrive together', async () => {
    // Guards against a double run of two copies that arrive at the same time.
    const {target, send} = createIntake();
    const both = Promise.all([send('r1'), send('r2')]);
    await target.endOldest();
    expect((await both).map(outcome => outcome.status)).toEqual([
      'done',
      'done',
    ]);
    expect(target.runs).toEqual(['r1']);
  });

  it('does not run a queued request whose caller has left', async () => {
    // Guards against a queued request that runs after its caller has left.
    const {intake, target, send} = createIntake();
    const free = {notRepeatable: false, ledgerKey: undefined, keyed: false};
    const first = send('r1', free);
    const queued = send('r2', free);
    intake.cancel('r2');
    await target.endOldest();
    await first;
    expect(await queued).toEqual({
      status: 'not-run',
      reason: 'cancelled_in_queue',
      retryAfterMs: undefined,
    });
    expect(target.runs).toEqual(['r1']);
  });

  it('refuses a keyed request from a gate whose record is newer', async () => {
    // Guards against running a key before the agent knows that it is its home.
    const {target, send} = createIntake(1);
    const outcome = await send('r1', {recordVersion: 2});
    expect(outcome).toEqual({
      status: 'not-run',
      reason: 'agent_config_behind',
      retryAfterMs: 500,
    });
    expect(target.runs).toEqual([]);
  });

  it('answers a copy although the first run failed', async () => {
    // Guards against a rejected promise of a waiting copy, which ended the
    // agent.
    const {intake, target, send} = createIntake();
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
    expect(intake.size).toEqual(0);
  });
});
