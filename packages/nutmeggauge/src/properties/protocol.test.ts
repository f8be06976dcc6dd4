import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ANSWER_PIECES, World} from '../test/world.js';
import type {RequestKind, SentRequest, TargetMode} from '../test/world.js';

/** Bound of configuration, in ms: by then every process holds a new record. */
const CONFIG_BOUND_MS = 8000;
/** By then every request has its final answer: its deadline and the grace. */
const SETTLE_MS = 3000;
const HOSTS = 3;
const GATES = 2;

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

const host = fc.integer({min: 0, max: HOSTS - 1});
const gate = fc.integer({min: 0, max: GATES - 1});
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

async function runStep(world: World, next: Step): Promise<void> {
  switch (next.do) {
    case 'send':
      world.send(next.gate, next.kind, next.key);
      return;
    case 'restart-agent':
      world.restartHost(next.host);
      return;
    case 'cut':
      world.pickHost(next.host).isCut = true;
      return;
    case 'mend':
      world.pickHost(next.host).isCut = false;
      return;
    case 'freeze':
      world.pickHost(next.host).isFrozen = true;
      return;
    case 'thaw':
      world.pickHost(next.host).thaw();
      return;
    case 'lose-chunk':
      world.pickHost(next.host).chunksToLose++;
      return;
    case 'target':
      world.pickHost(next.host).mode = next.mode;
      return;
    case 'restart-gate':
      world.restartGate(next.gate);
      return;
    case 'publish':
      world.publishTargets(next.drop);
      return;
    case 'apply':
      world.applyRecord(next.gate, next.host);
      return;
    case 'wait':
      await world.advance(next.ms, advanceTimers);
  }
}

function checkRequest(world: World, sent: SentRequest): void {
  const {result} = sent;
  // Nothing lost: every request has a final answer.
  expect(result).not.toEqual(undefined);
  if (result === undefined) return;
  // Nothing doubled.
  if (sent.notRepeatable) expect(world.countRuns(sent)).toBeLessThanOrEqual(1);
  // No false "not run".
  if (
    result.status === 'not-run' ||
    (result.status === 'deadline' && !result.ran)
  )
    expect(world.countRuns({requestId: sent.requestId})).toEqual(0);
  // A whole answer, of one run: every piece once, in order, in one wording.
  if (result.status === 'done')
    expect(sent.text).toEqual(renderAnswer(sent.text.slice(0, 1)));
}

const renderAnswer = (letter: string) =>
  Array.from({length: ANSWER_PIECES}, (_, seq) => `${letter}${seq}`).join('');

describe('core protocol under any order of faults (property)', () => {
  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'Date'], now: 1_700_000_000_000});
  });
  afterEach(() => {
    mock.timers.reset();
  });

  it('loses nothing, doubles nothing, and says "not run" only of what did not run', async () => {
    // Callers send and retry requests while agents, gates and targets fail and
    // the pool changes, in any order.
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const world = new World(HOSTS, GATES);
        let sincePublish = 0;
        for (const next of steps) {
          await runStep(world, next);
          if (next.do === 'publish') sincePublish = 0;
          if (next.do === 'wait') sincePublish += next.ms;
          if (sincePublish >= CONFIG_BOUND_MS) world.settleRecord();
        }
        // Some requests meet their deadline at a frozen host; then all wake.
        await world.advance(SETTLE_MS, advanceTimers, 100);
        for (let i = 0; i < HOSTS; i++) world.pickHost(i).thaw();
        await world.advance(SETTLE_MS, advanceTimers, 100);
        for (const sent of world.sent) checkRequest(world, sent);
      }),
      {
        numRuns: Number(process.env.NUTMEGGAUGE_RUNS ?? 500),
        seed: Number(process.env.NUTMEGGAUGE_SEED ?? 20261202),
      },
    );
  });
});
