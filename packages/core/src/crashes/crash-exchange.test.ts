import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {BEGIN_WINDOW_MS} from './crash.js';
import {CrashReportSchema} from './crash-report.js';
import {Fingerprint} from './fingerprint.js';
import {createSuspectRequests} from './suspect-requests.js';
import type {CrashReport} from './crash-report.js';
import type {SuspectRequests} from './suspect-requests.js';

const GATE_COUNT = 4;

/** Contents that callers send. */
const FINGERPRINTS = ['a', 'b'].map(
  text =>
    new Fingerprint({
      method: 'POST',
      host: 'site',
      path: '/',
      account: undefined,
      body: Buffer.from(text),
    }),
);

/** Interval between two heartbeats of a gate, in ms. */
const HEARTBEAT_MS = 1000;

type Step =
  | {readonly kind: 'crash'; readonly gate: number; readonly content: number}
  | {readonly kind: 'answer'; readonly gate: number; readonly content: number}
  | {readonly kind: 'restart'; readonly gate: number}
  | {readonly kind: 'beat'; readonly gate: number};

const gate = fc.nat({max: GATE_COUNT - 1});
const content = fc.nat({max: FINGERPRINTS.length - 1});
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({kind: fc.constant('crash' as const), gate, content}),
  fc.record({kind: fc.constant('answer' as const), gate, content}),
  fc.record({kind: fc.constant('restart' as const), gate}),
  fc.record({kind: fc.constant('beat' as const), gate}),
);

/**
 * Gates that exchange reports over a network that loses each datagram as a
 * random source says.
 */
class LossyGates {
  now = 0;
  readonly gates: SuspectRequests[];
  private lastTarget = 0;

  constructor(private readonly isLost: () => boolean) {
    this.gates = Array.from({length: GATE_COUNT}, (_, i) => this.buildGate(i));
  }

  /** Runs one step; a heartbeat's worth of time passes with each `beat`. */
  run(step: Step): void {
    this.now += 7;
    const suspects = this.gates[step.gate];
    if (step.kind === 'beat') return this.sendHeartbeat(step.gate);
    if (step.kind === 'restart') {
      this.gates[step.gate] = this.buildGate(step.gate);
      return;
    }
    const fingerprint = FINGERPRINTS[step.content];
    if (step.kind === 'answer') suspects.recordAnswer(fingerprint);
    else if (suspects.judge(fingerprint) !== 'refused')
      suspects.recordCrash({fingerprint, target: `t${++this.lastTarget}`});
  }

  /** Passes heartbeats of all gates, without losses, until nothing changes. */
  settle(): void {
    for (let round = 0; round < 2; round++) {
      this.now += HEARTBEAT_MS;
      for (const suspects of this.gates) suspects.expire();
      for (const from of this.gates)
        for (const to of this.gates)
          if (from.hashRefused() !== to.hashRefused())
            to.merge(toDecoded(from.listAll()));
    }
  }

  private sendHeartbeat(index: number): void {
    this.now += HEARTBEAT_MS / GATE_COUNT;
    this.broadcast(index, this.gates[index].listRecent());
  }

  private buildGate(index: number): SuspectRequests {
    return createSuspectRequests({
      readNow: () => this.now,
      announce: reports => this.broadcast(index, reports),
    });
  }

  private broadcast(from: number, reports: readonly CrashReport[]): void {
    this.gates.forEach((to, i) => {
      if (i !== from && !this.isLost()) to.merge(toDecoded(reports));
    });
  }
}

/** Encodes reports for the wire and decodes them again. */
function toDecoded(reports: readonly CrashReport[]): readonly CrashReport[] {
  const text = JSON.stringify(reports);
  return (JSON.parse(text) as unknown[]).map(r => CrashReportSchema.parse(r));
}

/** Number of processes in each of the two sides of a mesh. */
const SIDE_COUNT = 3;

/** Most deliveries that one crash or answer may cause in a mesh. */
const MAX_DELIVERIES_PER_STEP = 4 * SIDE_COUNT * SIDE_COUNT;

/**
 * Gates and agents, each linked to all processes of the other side, that pass
 * reports on. A random source picks the delivery that comes next.
 */
class Mesh {
  now = 0;
  deliveries = 0;
  readonly agents: SuspectRequests[];
  private readonly gates: SuspectRequests[];
  private pending: Array<() => void> = [];

  constructor() {
    const build = (listLinked: () => readonly SuspectRequests[]) => {
      const send = (reports: readonly CrashReport[]) => {
        for (const to of listLinked())
          this.pending.push(() => to.merge(toDecoded(reports)));
      };
      return createSuspectRequests({
        readNow: () => this.now,
        announce: send,
        forward: report => send([report]),
      });
    };
    const indexes = Array.from({length: SIDE_COUNT});
    this.gates = indexes.map(() => build(() => this.agents));
    this.agents = indexes.map(() => build(() => this.gates));
  }

  /** Delivers reports until none is on its way, or there are too many. */
  run(draw: (count: number) => number, maxDeliveries: number): void {
    while (this.pending.length > 0 && this.deliveries <= maxDeliveries) {
      const [deliver] = this.pending.splice(draw(this.pending.length), 1);
      this.now += 1;
      this.deliveries++;
      deliver();
    }
  }
}

describe('gates and agents that pass crashes on', () => {
  it('send no report for ever, in whatever order crashes and answers arrive', () => {
    // Guards against a crash and the answer that cleared it that chase each
    // other between processes until these do nothing else.
    fc.assert(
      fc.property(
        fc.array(fc.record({kind: fc.constantFrom('crash', 'answer'), gate}), {
          minLength: 1,
          maxLength: 8,
        }),
        fc.infiniteStream(fc.nat()),
        (steps, numbers) => {
          const mesh = new Mesh();
          const [fingerprint] = FINGERPRINTS;
          const most = MAX_DELIVERIES_PER_STEP * steps.length;
          const draw = (count: number) =>
            (numbers.next().value as number) % count;
          steps.forEach(({kind, gate: index}, i) => {
            const agent = mesh.agents[index % SIDE_COUNT];
            if (kind === 'answer') agent.recordAnswer(fingerprint);
            else
              agent.recordCrash({
                fingerprint,
                target: `t${i}`,
                beganAt: mesh.now,
                brokenAt: mesh.now + BEGIN_WINDOW_MS + 1,
              });
            // Some reports are still on their way at the next step.
            mesh.run(draw, mesh.deliveries + 5);
          });
          mesh.run(draw, most);
          expect(mesh.deliveries <= most).toEqual(true);
        },
      ),
      {numRuns: 300},
    );
  });
});

describe('gates that exchange crashes', () => {
  it('agree on what is refused after any order of crashes, answers, restarts and losses', () => {
    // Guards against a gate that sends a request on because it was told of the
    // crashes in another order, late or not at all.
    fc.assert(
      fc.property(
        fc.array(STEP, {maxLength: 40}),
        fc.infiniteStream(fc.boolean()),
        (steps, losses) => {
          const network = new LossyGates(() => losses.next().value === true);
          for (const step of steps) network.run(step);
          network.settle();
          const hashes = network.gates.map(suspects => suspects.hashRefused());
          expect(new Set(hashes).size).toEqual(1);
        },
      ),
      {numRuns: 500},
    );
  });

  it('all refuse a request at its second crash if nothing is lost', () => {
    // Guards against a count within one gate: each gate sees one crash.
    fc.assert(
      fc.property(
        fc.array(gate, {minLength: 4, maxLength: 12}),
        gatesInOrder => {
          const network = new LossyGates(() => false);
          for (const index of gatesInOrder)
            network.run({kind: 'crash', gate: index, content: 0});
          const verdicts = network.gates.map(suspects => ({
            verdict: suspects.judge(FINGERPRINTS[0]),
            crashed: suspects.listCrashed(FINGERPRINTS[0]).length,
          }));
          expect(verdicts).toEqual(
            verdicts.map(() => ({verdict: 'refused', crashed: 2})),
          );
        },
      ),
    );
  });
});

/** Part under which every server crashes. */
const BAD_PART = 'bad';

const OTHER_PARTS = ['p', 'q', 'r'];

const partStep = fc.record({
  kind: fc.constantFrom('send', 'send', 'send', 'restart', 'beat'),
  gate,
  /** Parts of the request beside the bad one. */
  parts: fc.subarray(OTHER_PARTS, {minLength: 1}),
  isBad: fc.boolean(),
});

/** Gates that send requests of prompts with shared parts, no two alike. */
class PartGates extends LossyGates {
  soundRefused = 0;
  badCrashes = 0;
  private lastRequest = 0;

  /** Sends a request to a gate, unless that gate refuses it. */
  send(index: number, parts: readonly string[], isBad: boolean): void {
    const fingerprint = new Fingerprint({
      method: 'POST',
      host: 'site',
      path: '/',
      account: undefined,
      body: `request ${++this.lastRequest}`,
      listParts: () => (isBad ? [...parts, BAD_PART] : parts),
    });
    const suspects = this.gates[index];
    const isRefused = suspects.judge(fingerprint) === 'refused';
    this.now += 7;
    if (isRefused && !isBad) this.soundRefused++;
    if (isRefused) return;
    if (!isBad) return suspects.recordAnswer(fingerprint);
    this.badCrashes++;
    const target = `s${this.lastRequest}`;
    suspects.recordCrash({fingerprint, target, sentAt: this.now - 5});
  }
}

describe('gates that exchange crashes under parts of prompts', () => {
  it('agree on what is refused, and refuse no sound request, whatever is lost', () => {
    // Guards against a part that one gate refuses and another one sends on, and
    // against refusing the parts that sound requests share with the bad ones.
    fc.assert(
      fc.property(
        fc.array(partStep, {maxLength: 60}),
        fc.infiniteStream(fc.boolean()),
        (steps, losses) => {
          const network = new PartGates(() => losses.next().value === true);
          for (const step of steps)
            if (step.kind === 'send')
              network.send(step.gate, step.parts, step.isBad);
            else network.run({kind: step.kind as 'beat', gate: step.gate});
          network.settle();
          const hashes = network.gates.map(suspects => suspects.hashRefused());
          expect(new Set(hashes).size).toEqual(1);
          expect(network.soundRefused).toEqual(0);
        },
      ),
      {numRuns: 500},
    );
  });

  it('end three servers, and one for each part never seen apart from the bad one', () => {
    // Guards against a count within one gate, or within one content.
    fc.assert(
      fc.property(fc.array(partStep, {minLength: 10, maxLength: 60}), steps => {
        const network = new PartGates(() => false);
        for (const {gate: index, parts, isBad} of steps)
          network.send(index, parts, isBad);
        expect(network.badCrashes <= 3 + OTHER_PARTS.length).toEqual(true);
        expect(network.soundRefused).toEqual(0);
      }),
      {numRuns: 500},
    );
  });
});
