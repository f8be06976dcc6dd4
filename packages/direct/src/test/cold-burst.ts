/**
 * A zone of engines that returns cold at the moment of a burst of short streams,
 * played without a network: gates place, ask for permits and hear each other's
 * placements; engines prefill and decode in virtual time.
 */
import {estimatePrefillMs} from '../placement/engine-model.js';
import {PlacedPrompt, PlacementAnnouncer} from '../placement/placed-prompt.js';
import {buildPosition, buildTarget} from './build-target.js';
import {createBurstGate} from './burst-gate.js';
import {createRandom} from './create-random.js';
import {LONG_ITERATION_ENGINE, findObjectives} from './fleet-load.js';
import {ModelEngine} from './model-engine.js';
import {buildConfig} from './test-config.js';
import type {PermitQuestion} from '../limits/permits.js';
import type {Placement} from '../placement/placement.js';
import type {Target} from '../types.js';
import type {BurstGate} from './burst-gate.js';
import type {FakeClock} from './fake-clock.js';

const GATES = 27;
const WARM_ENGINES = 36;
const COLD_ENGINES = 18;

/** Short streams that run on each warm engine when the zone returns. */
const RUNNING_STREAMS = 6;

/** Short streams a second: 45.7 at 2.6 times their mean rate. */
const STREAMS_PER_S = 119;
const BURST_MS = 4000;

const PROMPT = {tokens: 4960, events: 32};

/** Factor by which a cold engine is slower, and the time for which it is. */
const COLD_SLOWDOWN = 4;
const COLD_START = {durationMs: 4000, requestsPerSecond: 28};

const COLD_BOUNDS = {overage: 1.5, slack: 5};

const SERVICE = {
  name: 'chat',
  engine: LONG_ITERATION_ENGINE,
  coldStart: COLD_START,
};

/** Longest time until a gate has heard the slowdown of an engine, in ms. */
const MAX_REPORT_MS = 1500;

/** Time until the other gates have heard of a placement, in ms. */
const HEAR_MS = 2;

/** Time until a prompt that found no engine is placed again, in ms. */
const RETRY_MS = 60;

/** Time after the burst in which streams may begin, in ms. */
const SETTLE_MS = 2000;

/** Options of a burst. */
export interface ColdBurstOptions {
  readonly seed: number;
  readonly hasSlowStart: boolean;
  /** Gates that hear no other gate and are not heard. */
  readonly blindGates: number;
}

/** What callers got. */
export interface ColdBurstResult {
  readonly streams: number;
  /** Streams whose first token came within their objective. */
  readonly inTime: number;
  /** Streams whose first token did not come until the end of the run. */
  readonly unserved: number;
}

interface BurstStream {
  readonly key: string;
  readonly at: number;
  placed: PlacedPrompt | undefined;
  firstTokenAt: number | undefined;
}

/** Applies the placements of a gate at the gates that hear it. */
class BurstAnnouncer extends PlacementAnnouncer {
  constructor(
    private readonly listHearing: () => readonly BurstGate[],
    private readonly readNow: () => number,
  ) {
    super();
  }

  override announcePlaced(placement: Placement): void {
    this.notify(({tracker}) => tracker.add(placement));
  }

  override announceFirstToken(key: string): void {
    this.notify(({tracker}) => tracker.markFirstToken(key, this.readNow()));
  }

  override announceEnded(key: string): void {
    this.notify(({tracker}) => tracker.remove(key, this.readNow()));
  }

  private notify(apply: (gate: BurstGate) => void): void {
    setTimeout(() => this.listHearing().forEach(apply), HEAR_MS);
  }
}

/**
 * Plays a burst.
 *
 * @example
 * const {inTime} = await new ColdBurst(clock, options).run();
 */
export class ColdBurst {
  private readonly random: () => number;
  private readonly engines = new Map<string, ModelEngine>();
  private readonly gates: readonly BurstGate[];
  private readonly streams = new Map<string, BurstStream>();
  private readonly targets: readonly Target[];
  private coldUntil = -Infinity;

  constructor(
    private readonly clock: FakeClock,
    private readonly options: ColdBurstOptions,
  ) {
    this.random = createRandom(options.seed);
    this.targets = Array.from({length: WARM_ENGINES + COLD_ENGINES}, (_, i) =>
      buildTarget(`e${i}`, i + 1),
    );
    for (const {id} of this.targets)
      this.engines.set(id, new ModelEngine(LONG_ITERATION_ENGINE));
    this.gates = Array.from({length: GATES}, (_, i) => this.buildGate(i));
  }

  /** Plays the burst and sums up what callers got. */
  async run(): Promise<ColdBurstResult> {
    for (let i = 0; i < RUNNING_STREAMS * WARM_ENGINES; i++) {
      this.accept(`r${i}`);
      await this.advance(10);
    }
    this.coldUntil = this.clock.now + COLD_START.durationMs;
    for (const target of this.targets.slice(WARM_ENGINES))
      this.addColdEngine(target);
    const count = (STREAMS_PER_S * BURST_MS) / 1000;
    for (let i = 0; i < count; i++)
      setTimeout(() => this.accept(`s${i}`), this.random() * BURST_MS);
    await this.advance(BURST_MS + SETTLE_MS);
    return this.summarize();
  }

  private buildGate(index: number): BurstGate {
    const host = formatHost(index);
    const listHeard = () => this.listHeard(index);
    return createBurstGate({
      host,
      listGates: () => [host, ...listHeard().map(gate => gate.host)],
      heardShare: this.countHeard(index) / (GATES - 1),
      grantShare: (1 + this.countHeard(index)) / GATES,
      messenger: {askPermit: (to, question) => this.ask(to, question)},
      announcer: new BurstAnnouncer(listHeard, () => this.clock.now),
      coldBounds: this.options.hasSlowStart ? COLD_BOUNDS : undefined,
      config: buildConfig(1, {services: [SERVICE]}),
      targets: this.targets.slice(0, WARM_ENGINES),
      readNow: () => this.clock.now,
    });
  }

  private isBlind(index: number): boolean {
    return index < this.options.blindGates;
  }

  private countHeard(index: number): number {
    return this.isBlind(index) ? 0 : GATES - 1 - this.options.blindGates;
  }

  private listHeard(index: number): readonly BurstGate[] {
    if (this.isBlind(index)) return [];
    return this.gates.filter((_, i) => i !== index && !this.isBlind(i));
  }

  private addColdEngine(target: Target): void {
    const position = buildPosition(this.targets.length + 1);
    const change = {kind: 'target', target: {...target, position}} as const;
    for (const {state} of this.gates) state.applyChange(change);
    // Its home polls it, and the others hear of it with a heartbeat.
    const report = {target: target.id, slowdown: COLD_SLOWDOWN};
    const reportMs = this.random() * MAX_REPORT_MS;
    for (const {slowdowns} of this.gates)
      setTimeout(() => slowdowns.apply(report), reportMs);
  }

  private ask(to: string, question: PermitQuestion): void {
    const find = (host: string) => this.gates.find(gate => gate.host === host);
    setTimeout(() => {
      const answer = find(to)?.limits.permits.answer(question);
      if (answer === undefined) return;
      const {from} = question;
      setTimeout(() => find(from)?.limits.permits.receive(answer), HEAR_MS);
    }, HEAR_MS);
  }

  private accept(key: string): void {
    const stream: BurstStream = {
      key,
      at: this.clock.now,
      placed: undefined,
      firstTokenAt: undefined,
    };
    this.streams.set(key, stream);
    const gate = this.gates[Math.floor(this.random() * GATES)];
    void this.place(gate, stream);
  }

  private async place(gate: BurstGate, stream: BurstStream): Promise<void> {
    const objectives = findObjectives(PROMPT.tokens);
    const outcome = gate.placer.place(
      {
        service: SERVICE.name,
        promptTokens: PROMPT.tokens,
        maxOutputTokens: 400,
        ...objectives,
        objectiveLeftMs: objectives.objectiveMs - (this.clock.now - stream.at),
      },
      LONG_ITERATION_ENGINE,
      new Set(),
      false,
    );
    if (!(outcome instanceof PlacedPrompt)) {
      setTimeout(() => void this.place(gate, stream), RETRY_MS);
      return;
    }
    const {id} = outcome.target;
    const {access} = gate.limits;
    if ((await access.claim(id)) && access.settlePermit(id))
      return this.submit(stream, outcome);
    outcome.release();
    return this.place(gate, stream);
  }

  private submit(stream: BurstStream, placed: PlacedPrompt): void {
    const {now} = this.clock;
    const {id} = placed.target;
    const isCold = isColdEngine(id) && now < this.coldUntil;
    const ms = estimatePrefillMs(PROMPT.tokens, LONG_ITERATION_ENGINE);
    stream.placed = placed;
    this.engines.get(id)?.submitPrompt(
      {key: stream.key, ...PROMPT},
      {
        ms: ms * (isCold ? COLD_SLOWDOWN : 1),
        tokens: PROMPT.tokens,
        isWhole: true,
        isDecodedHere: true,
      },
      now,
    );
  }

  private async advance(ms: number): Promise<void> {
    const endsAt = this.clock.now + ms;
    while (this.clock.now < endsAt) {
      await this.clock.advance(2);
      const {now} = this.clock;
      for (const stream of this.streams.values())
        this.advanceStream(stream, now);
      for (const engine of this.engines.values())
        for (const key of engine.endStreams(now))
          this.streams.get(key)?.placed?.release();
    }
  }

  private advanceStream(stream: BurstStream, now: number): void {
    const {key, placed, firstTokenAt} = stream;
    if (placed === undefined || firstTokenAt !== undefined) return;
    const engine = this.engines.get(placed.target.id);
    if (!engine?.isPrefilled(key, now)) return;
    stream.firstTokenAt = now;
    placed.markFirstToken();
    engine.startDecoding({key, ...PROMPT}, now);
  }

  private summarize(): ColdBurstResult {
    const burst = [...this.streams.values()].filter(({key}) =>
      key.startsWith('s'),
    );
    const {objectiveMs} = findObjectives(PROMPT.tokens);
    const inTime = burst.filter(
      ({at, firstTokenAt = Infinity}) => firstTokenAt - at <= objectiveMs,
    );
    const unserved = burst.filter(
      ({firstTokenAt}) => firstTokenAt === undefined,
    );
    return {
      streams: burst.length,
      inTime: inTime.length,
      unserved: unserved.length,
    };
  }
}

function formatHost(index: number): string {
  return `10.1.0.${index + 1}`;
}

function isColdEngine(id: string): boolean {
  return Number(id.slice(1)) >= WARM_ENGINES;
}
