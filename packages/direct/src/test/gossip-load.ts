/** Gates in three zones that tell each other of a steady load of streams. */
import {createRandom} from './create-random.js';
import {DatagramNetwork} from './datagram-network.js';
import {buildConfig} from './gate-harness.js';
import {createModelGate} from './model-gate.js';
import type {Placement} from '../placement/placement.js';
import type {SentDatagram} from './datagram-network.js';
import type {FakeClock} from './fake-clock.js';
import type {ModelGate} from './model-gate.js';

/** Bytes of the headers of one datagram (IPv4 and UDP). */
const HEADER_BYTES = 28;

/** Time from a placement to its first token and to its end, in ms. */
const TTFT_MS = 150;
const STREAM_MS = 1900;

/** Time until all gates have heard of each other and streams end, in ms. */
const WARM_UP_MS = 4000;

/** Time for which datagrams are counted, in ms. */
const MEASURED_MS = 2000;

const ZONES = 3;

/** Options of a load of gossip. */
export interface GossipLoadOptions {
  readonly gates: number;
  readonly engines: number;
  /** Streams that all gates together place in a second. */
  readonly streamsPerS: number;
}

/** Bytes of one kind of datagram. */
export interface GossipBytes {
  /** Bytes that one gate sends and receives in a second, on average. */
  readonly perGate: number;
  /** Bytes that all gates send to other zones in a second. */
  readonly betweenZones: number;
}

/**
 * Measures the bytes of datagrams by kind.
 *
 * @example
 * const load = new GossipLoad(clock, {gates: 23, engines: 69, streamsPerS: 90});
 * (await load.measure()).get('placed')?.perGate;
 */
export class GossipLoad {
  private readonly random = createRandom(1);
  private readonly network = new DatagramNetwork(
    () => 1,
    datagram => this.recordBytes(datagram),
  );
  private readonly gates: ModelGate[] = [];
  private readonly bytes = new Map<string, GossipBytes>();
  private isMeasuring = false;
  private placements = 0;

  constructor(
    private readonly clock: FakeClock,
    private readonly options: GossipLoadOptions,
  ) {}

  /** Plays the load and returns what was sent, by kind of datagram. */
  async measure(): Promise<ReadonlyMap<string, GossipBytes>> {
    for (let i = 0; i < this.options.gates; i++) await this.startGate(i);
    await this.runFor(WARM_UP_MS);
    this.isMeasuring = true;
    await this.runFor(MEASURED_MS);
    for (const {group} of this.gates) void group.stop();
    return this.bytes;
  }

  private async startGate(index: number): Promise<void> {
    const host = formatHost(index);
    const gate = createModelGate({
      host,
      zone: findZone(host),
      incarnation: formatIncarnation(this.random()),
      seedHosts: [formatHost(0)],
      transport: this.network.connect(host),
      config: buildConfig(1),
      targets: [],
      readNow: () => this.clock.now,
    });
    await gate.group.start();
    this.gates.push(gate);
  }

  private async runFor(ms: number): Promise<void> {
    const endsAt = this.clock.now + ms;
    let due = 0;
    while (this.clock.now < endsAt) {
      await this.clock.advance(1);
      due += this.options.streamsPerS / 1000;
      for (; due >= 1; due--) this.place();
    }
  }

  private place(): void {
    const at = Math.floor(this.random() * this.gates.length);
    const {group, tracker} = this.gates[at];
    const placement = this.buildPlacement(group.owner);
    const {key} = placement;
    tracker.add(placement);
    group.announcePlaced(placement);
    setTimeout(() => {
      tracker.markFirstToken(key, this.clock.now);
      group.announceFirstToken(key);
    }, TTFT_MS);
    setTimeout(() => {
      tracker.remove(key, this.clock.now);
      group.announceEnded(key);
    }, STREAM_MS);
  }

  private buildPlacement(owner: string): Placement {
    const engine = Math.floor(this.random() * this.options.engines);
    const decoder = `i-${engine.toString(16).padStart(10, '0')}`;
    return {
      key: `${owner}#${++this.placements}`,
      decoder,
      shards: [{target: decoder, prefillMs: 30}],
      promptTokens: 5012,
      kvTokens: 5412,
      reserved: [],
      objectiveMs: 300,
      itlObjectiveMs: 250,
      value: 1.5012,
      predictedTtftMs: 88,
      placedAt: this.clock.now,
    };
  }

  private recordBytes({from, to, bytes}: SentDatagram): void {
    if (!this.isMeasuring) return;
    const kind = findKind(bytes);
    const {perGate = 0, betweenZones = 0} = this.bytes.get(kind) ?? {};
    const perS = (bytes.length + HEADER_BYTES) / (MEASURED_MS / 1000);
    const isRemote = findZone(from) !== findZone(to);
    this.bytes.set(kind, {
      // Each datagram is sent by one gate and received by another.
      perGate: perGate + (2 * perS) / this.options.gates,
      betweenZones: betweenZones + (isRemote ? perS : 0),
    });
  }
}

/** Finds the kind of a datagram; those about placements are one kind. */
function findKind(bytes: Buffer): string {
  return /"method":"([a-z-]+)"/.exec(String(bytes))?.[1] ?? 'placements';
}

function formatIncarnation(random: number): string {
  return `1234.${Math.floor(random * 1e9)}`;
}

function formatHost(index: number): string {
  return `10.1.0.${index + 1}`;
}

function findZone(host: string): string {
  return `az-${Number(host.split('.')[3]) % ZONES}`;
}
