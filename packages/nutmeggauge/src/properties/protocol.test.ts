import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ANSWER_CHUNKS, ProtocolHarness} from '../test/protocol-harness.js';
import type {
  RequestKind,
  SentRequest,
  TargetMode,
} from '../test/protocol-harness.js';

/** Longest time until a published record has reached every process, in ms. */
const CONFIG_PROPAGATION_MS = 8000;
/**
 * Time until every request has its final answer, in ms: the deadline of the
 * request plus a grace period.
 */
const SETTLE_MS = 3000;
const HOST_COUNT = 3;
const GATE_COUNT = 2;

type Step =
  | {
      readonly do: 'send';
      readonly gate: number;
      readonly kind: RequestKind;
      readonly key: number;
    }
  | {
      readonly do:
        'restart-agent' | 'cut' | 'mend' | 'freeze' | 'thaw' | 'lose-chunk';
      readonly host: number;
    }
  | {readonly do: 'target'; readonly host: number; readonly mode: TargetMode}
  | {readonly do: 'restart-gate'; readonly gate: number}
  | {readonly do: 'publish'; readonly drop: number | undefined}
  | {readonly do: 'apply'; readonly gate: number; readonly host: number}
  | {readonly do: 'wait'; readonly ms: number};

const host = fc.integer({min: 0, max: HOST_COUNT - 1});
const gate = fc.integer({min: 0, max: GATE_COUNT - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('send' as const),
      gate,
      kind: fc.constantFrom<RequestKind>(
        'repeatable',
        'rule',
        'keyed',
        'keyed',
      ),
      key: fc.integer({min: 0, max: 3}),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      do: fc.constantFrom(
        'restart-agent',
        'cut',
        'mend',
        'freeze',
        'thaw',
        'lose-chunk',
      ),
      host,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('target' as const),
      host,
      mode: fc.constantFrom<TargetMode>(
        'answer',
        'refuse',
        'die-after-running',
      ),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('restart-gate' as const), gate}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constant('publish' as const),
      drop: fc.option(host, {nil: undefined}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({do: fc.constant('apply' as const), gate, host}),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      do: fc.constant('wait' as const),
      ms: fc.constantFrom(20, 40, 100, 400, 2000),
    }),
  },
);

const advanceTimers = (ms: number) => mock.timers.tick(ms);

async function runStep(harness: ProtocolHarness, next: Step): Promise<void> {
  switch (next.do) {
    case 'send':
      harness.send(next.gate, next.kind, next.key);
      return;
    case 'restart-agent':
      harness.restartHost(next.host);
      return;
    case 'cut':
      harness.pickHost(next.host).isCut = true;
      return;
    case 'mend':
      harness.pickHost(next.host).isCut = false;
      return;
    case 'freeze':
      harness.pickHost(next.host).isFrozen = true;
      return;
    case 'thaw':
      harness.pickHost(next.host).thaw();
      return;
    case 'lose-chunk':
      harness.pickHost(next.host).chunksToDrop++;
      return;
    case 'target':
      harness.pickHost(next.host).mode = next.mode;
      return;
    case 'restart-gate':
      harness.restartGate(next.gate);
      return;
    case 'publish':
      harness.publishTargets(next.drop);
      return;
    case 'apply':
      harness.applyRecord(next.gate, next.host);
      return;
    case 'wait':
      await harness.advance(next.ms, advanceTimers);
  }
}

function checkRequest(harness: ProtocolHarness, sent: SentRequest): void {
  const {result} = sent;
  // Every request has a final answer.
  expect(result).not.toEqual(undefined);
  if (result === undefined) return;
  // A request that is not repeatable runs at most once.
  if (sent.notRepeatable)
    expect(harness.countRuns(sent)).toBeLessThanOrEqual(1);
  // A request that was reported as not run has not run.
  if (
    result.status === 'not-run' ||
    (result.status === 'deadline' && !result.ran)
  )
    expect(harness.countRuns({requestId: sent.requestId})).toEqual(0);
  // A complete answer has every chunk once and in order, all with one letter:
  // targets generate different letters, so chunks of two runs would differ.
  if (result.status === 'done')
    expect(sent.text).toEqual(renderAnswer(sent.text.slice(0, 1)));
}

const renderAnswer = (letter: string) =>
  Array.from({length: ANSWER_CHUNKS}, (_, seq) => `${letter}${seq}`).join('');

describe('dispatch protocol under random faults (property)', () => {
  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'Date'], now: 1_700_000_000_000});
  });
  afterEach(() => {
    mock.timers.reset();
  });

  it('answers every request, runs non-repeatable ones at most once and never reports an executed request as not run', async () => {
    // Callers send and retry requests while agents, gates, links and targets
    // fail and the targets of the pool change, in random order.
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const harness = new ProtocolHarness(HOST_COUNT, GATE_COUNT);
        let msSincePublish = 0;
        for (const next of steps) {
          await runStep(harness, next);
          if (next.do === 'publish') msSincePublish = 0;
          if (next.do === 'wait') msSincePublish += next.ms;
          if (msSincePublish >= CONFIG_PROPAGATION_MS)
            harness.applyRecordEverywhere();
        }
        // Some requests reach their deadline at a frozen host; then all hosts
        // thaw.
        await harness.advance(SETTLE_MS, advanceTimers, 100);
        for (let i = 0; i < HOST_COUNT; i++) harness.pickHost(i).thaw();
        await harness.advance(SETTLE_MS, advanceTimers, 100);
        for (const sent of harness.sent) checkRequest(harness, sent);
      }),
      {
        numRuns: Number(process.env.NUTMEGGAUGE_RUNS ?? 500),
        seed: Number(process.env.NUTMEGGAUGE_SEED ?? 20261202),
      },
    );
  });
});
