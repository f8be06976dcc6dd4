/**
 * Fleet whose callers all return at once, to gates that have just started or
 * that are cut off from each other.
 */
import {estimatePrefillMs} from '../placement/engine-model.js';
import {PlacedPrompt} from '../placement/placed-prompt.js';
import {createRandom} from './create-random.js';
import {DatagramNetwork} from './datagram-network.js';
import {LONG_ITERATION_ENGINE, findObjectives} from './fleet-load.js';
import {buildTarget} from './build-target.js';
import {buildConfig} from './gate-harness.js';
import {ModelEngine} from './model-engine.js';
import {createModelGate} from './model-gate.js';
import type {FleetConfig, Target} from '../types.js';
import type {FakeClock} from './fake-clock.js';
import type {ModelGate} from './model-gate.js';

/** Time within which all gates start, in ms. */
const START_SPREAD_MS = 450;

/** Time within which the callers return, in ms. */
const ARRIVAL_SPREAD_MS = 1000;

/** Delay between two availability zones, and within one, in ms. */
const REMOTE_DELAY_MS = 2;
const LOCAL_DELAY_MS = 1;

/**
 * Time for which gates are cut off before the callers return, in ms; longer than
 * a silent peer counts as live.
 */
const CUT_OFF_MS = 4500;

/** Time until a prompt that found no engine is placed again, in ms. */
const RETRY_MS = 60;

/** Time after the last arrival in which prompts may begin, in ms. */
const SETTLE_MS = 1500;

const ZONES = ['az-1', 'az-2', 'az-3'];

/** Number of seeds that each gate knows. */
const SEEDS = 3;

/** Sizes of the prompts, with their share of all requests. */
const PROMPTS = [
  {share: 0.88, tokens: 5000, events: 32},
  {share: 0.097, tokens: 45_000, events: 19},
  {share: 0.023, tokens: 220_000, events: 16},
];

/** Prompt tokens below which a stream counts as short. */
const SHORT_TOKENS = 24_000;

/** Options of a starting fleet. */
export interface StartingFleetOptions {
  readonly seed: number;
  readonly gates: number;
  readonly engines: number;
  readonly streams: number;
  /** Whether the gates have known each other and are cut off then. */
  readonly isCutOff: boolean;
}

/** What the callers of a starting fleet got. */
export interface StartResult {
  /** Share of the short streams that began within their objective. */
  readonly inTimeShare: number;
  /** Number of engines that decoded a short stream. */
  readonly engines: number;
  /** Largest number of short streams that one engine got. */
  readonly mostOnOne: number;
}

interface Arrival {
  readonly key: string;
  readonly at: number;
  readonly tokens: number;
  readonly events: number;
}

interface OpenStream {
  readonly arrival: Arrival;
  placed: PlacedPrompt | undefined;
  firstTokenAt: number | undefined;
}

/**
 * Plays the start of a fleet.
 *
 * @example
 * const result = await new StartingFleet(clock, options).run();
 * result.inTimeShare;
 */
export class StartingFleet {
  private readonly random: () => number;
  private readonly network: DatagramNetwork;
  private readonly targets: readonly Target[];
  private readonly engines: ReadonlyMap<string, ModelEngine>;
  private readonly config: FleetConfig;
  private readonly gates: ModelGate[] = [];
  private readonly open = new Set<OpenStream>();
  private readonly finished: OpenStream[] = [];
  private isCut = false;

  constructor(
    private readonly clock: FakeClock,
    private readonly options: StartingFleetOptions,
  ) {
    this.random = createRandom(options.seed);
    this.network = new DatagramNetwork((from, to) =>
      this.findDelayMs(from, to),
    );
    this.targets = Array.from({length: options.engines}, (_, i) => ({
      ...buildTarget(`e${i}`, 1),
      zone: findZone(i),
    }));
    this.engines = new Map(
      this.targets.map(({id}) => [id, new ModelEngine(LONG_ITERATION_ENGINE)]),
    );
    this.config = buildConfig(1, {
      services: [{name: 'chat', engine: LONG_ITERATION_ENGINE}],
    });
  }

  /** Lets the callers return, and sums up what they got. */
  async run(): Promise<StartResult> {
    await this.startGate(0);
    for (let i = 1; i < this.options.gates; i++)
      setTimeout(() => void this.startGate(i), this.random() * START_SPREAD_MS);
    if (this.options.isCutOff) await this.stopDatagrams();
    for (let i = 0; i < this.options.streams; i++)
      setTimeout(() => this.accept(`s${i}`), this.random() * ARRIVAL_SPREAD_MS);
    const endsAt = this.clock.now + ARRIVAL_SPREAD_MS + SETTLE_MS;
    while (this.clock.now < endsAt) {
      await this.clock.advance(1);
      this.advanceStreams(this.clock.now);
    }
    for (const {group} of this.gates) void group.stop();
    return this.summarize();
  }

  private async stopDatagrams(): Promise<void> {
    await this.clock.advance(CUT_OFF_MS);
    this.isCut = true;
    await this.clock.advance(CUT_OFF_MS);
  }

  private async startGate(index: number): Promise<void> {
    const host = formatHost(index);
    const gate = createModelGate({
      host,
      zone: findZone(index),
      incarnation: String(this.random()),
      seedHosts: Array.from({length: SEEDS}, () =>
        formatHost(Math.floor(this.random() * this.options.gates)),
      ),
      transport: this.network.connect(host),
      config: this.config,
      targets: this.targets,
      readNow: () => this.clock.now,
    });
    await gate.group.start();
    this.gates.push(gate);
  }

  private accept(key: string): void {
    let left = this.random();
    const {tokens, events} =
      PROMPTS.find(({share}) => (left -= share) < 0) ?? PROMPTS[0];
    const stream: OpenStream = {
      arrival: {key, at: this.clock.now, tokens, events},
      placed: undefined,
      firstTokenAt: undefined,
    };
    this.open.add(stream);
    const at = Math.floor(this.random() * this.gates.length);
    this.place(this.gates[at], stream);
  }

  private place(gate: ModelGate, stream: OpenStream): void {
    const {arrival} = stream;
    const {now} = this.clock;
    const objectives = findObjectives(arrival.tokens);
    const outcome = gate.placer.place(
      {
        service: 'chat',
        promptTokens: arrival.tokens,
        maxOutputTokens: 400,
        ...objectives,
        objectiveLeftMs: objectives.objectiveMs - (now - arrival.at),
      },
      LONG_ITERATION_ENGINE,
      new Set(),
      false,
    );
    if (outcome instanceof PlacedPrompt) this.submit(stream, outcome);
    else setTimeout(() => this.place(gate, stream), RETRY_MS);
  }

  private submit(stream: OpenStream, placed: PlacedPrompt): void {
    const {now} = this.clock;
    const {key, tokens, events} = stream.arrival;
    const targets = [placed.target, ...placed.helpers];
    const shard = {
      ms: estimatePrefillMs(tokens, LONG_ITERATION_ENGINE) / targets.length,
      tokens: tokens / targets.length,
      isWhole: targets.length === 1,
    };
    stream.placed = placed;
    this.findEngine(placed.target.id).submitPrompt(
      {key, tokens, events},
      {...shard, isDecodedHere: true},
      now,
    );
    for (const {id} of placed.helpers)
      this.findEngine(id).submitShard(
        key,
        {...shard, isDecodedHere: false},
        now,
      );
  }

  private advanceStreams(now: number): void {
    for (const stream of this.open) this.advanceStream(stream, now);
    for (const engine of this.engines.values())
      for (const key of engine.endStreams(now)) this.finish(key);
  }

  private advanceStream(stream: OpenStream, now: number): void {
    const {arrival, placed, firstTokenAt} = stream;
    if (placed === undefined || firstTokenAt !== undefined) return;
    const {key} = arrival;
    const targets = [placed.target, ...placed.helpers];
    if (!targets.every(({id}) => this.findEngine(id).isPrefilled(key, now)))
      return;
    stream.firstTokenAt = now;
    placed.markFirstToken();
    this.findEngine(placed.target.id).startDecoding(arrival, now);
    for (const {id} of placed.helpers) this.findEngine(id).dropShard(key, now);
  }

  private finish(key: string): void {
    const stream = [...this.open].find(({arrival}) => arrival.key === key);
    if (stream === undefined) return;
    stream.placed?.release();
    this.open.delete(stream);
    this.finished.push(stream);
  }

  private summarize(): StartResult {
    const short = [...this.finished, ...this.open].filter(
      ({arrival}) => arrival.tokens < SHORT_TOKENS,
    );
    const inTime = short.filter(({arrival, firstTokenAt}) => {
      const {objectiveMs} = findObjectives(arrival.tokens);
      return (firstTokenAt ?? Infinity) - arrival.at <= objectiveMs;
    });
    const counts = new Map<string, number>();
    for (const {placed} of short) {
      const id = placed?.target.id ?? 'none';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return {
      inTimeShare: inTime.length / short.length,
      engines: counts.size,
      mostOnOne: Math.max(...counts.values()),
    };
  }

  private findEngine(id: string): ModelEngine {
    const engine = this.engines.get(id);
    if (engine === undefined) throw new Error(`engine ${id} does not exist`);
    return engine;
  }

  private findDelayMs(from: string, to: string): number | undefined {
    if (this.isCut) return undefined;
    return findZone(parseIndex(from)) === findZone(parseIndex(to))
      ? LOCAL_DELAY_MS
      : REMOTE_DELAY_MS;
  }
}

function formatHost(index: number): string {
  return `10.1.0.${index + 1}`;
}

function parseIndex(host: string): number {
  return Number(host.split('.')[3]) - 1;
}

function findZone(index: number): string {
  return ZONES[index % ZONES.length];
}
