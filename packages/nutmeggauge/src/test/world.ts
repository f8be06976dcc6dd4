/**
 * A small world for property tests: real dispatchers and real intakes, with
 * links, targets and clocks under the test's control. No sockets; time moves
 * only when the test says so (node:test's mock timers).
 */
import {setImmediate as waitImmediate} from 'node:timers/promises';
import {
  Intake,
  TargetClient,
  createKeyOwnership,
  createLanes,
  createLedger,
} from '@nutmeggauge/agent';
import {
  CLOCK_SKEW_MS,
  RpcClosedError,
  RpcFailedError,
  TargetUnreachableError,
  createCounters,
  findHome,
} from '@nutmeggauge/core';
import {
  RoundRobinRouter,
  createChunkStream,
  createDispatcher,
  createRetryBudget,
} from '@nutmeggauge/gate';
import type {
  ChunkNotice,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';
import type {ChunkSink, KeyOwnership} from '@nutmeggauge/agent';
import type {
  DispatchBounds,
  DispatchResult,
  Dispatcher,
  TargetDirectory,
  TargetLink,
} from '@nutmeggauge/gate';

export const POOL = 'pool';
/** Tokens of every answer. */
export const ANSWER_PIECES = 3;
/** Time a target takes for one piece, in ms. */
const PIECE_MS = 20;
const DEADLINE_MS = 2000;
/** How long keys are honoured in this world, in ms. */
const RETAIN_MS = 60_000;

/** What a target does with the next requests. */
export type TargetMode = 'answer' | 'refuse' | 'die-after-running';

/** The pool's targets as of one version of the record. */
interface TargetsVersion {
  readonly version: number;
  readonly ids: readonly string[];
}

/** One process life's target client; a killed process runs nothing more. */
class WorldTarget extends TargetClient {
  isDead = false;

  constructor(private readonly host: Host) {
    super('world');
  }

  async run(
    request: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    if (this.isDead) return new Promise(() => {});
    if (this.host.mode === 'refuse')
      return {status: 'not-run', reason: 'target_rejected'};
    this.host.runs.push({
      requestId: request.requestId,
      key: request.ledgerKey,
    });
    if (this.host.mode === 'die-after-running')
      return {status: 'unknown', reason: 'target_failed'};
    const letter = /^\D+/.exec(request.resume?.text ?? '')?.[0] ?? this.host.id;
    for (let seq = request.resume?.fromSeq ?? 0; seq < ANSWER_PIECES; seq++) {
      await new Promise(resolve => setTimeout(resolve, PIECE_MS));
      if (signal.aborted) return {status: 'unknown', reason: 'cancelled'};
      sink(seq, `${letter}${seq}`);
    }
    return {status: 'done', chunks: ANSWER_PIECES, tokens: 3, cachedTokens: 0};
  }
}

/** A target host: its agent's process life, and what its target ran. */
class Host {
  mode: TargetMode = 'answer';
  isFrozen = false;
  isCut = false;
  /** Chunks that its links lose next, as a faulty relay between would. */
  chunksToLose = 0;
  readonly runs: Array<{readonly requestId: string; readonly key?: string}> =
    [];
  intake!: Intake;
  /** Breaks every link of the present life. */
  private life = new AbortController();
  private target!: WorldTarget;
  private ownership!: KeyOwnership;
  private waiting: Array<() => void> = [];
  private record: TargetsVersion;

  constructor(
    readonly id: string,
    record: TargetsVersion,
    bornAt: number,
  ) {
    this.record = record;
    this.startLife(bornAt);
  }

  get lifeSignal(): AbortSignal {
    return this.life.signal;
  }

  /** Kills the agent; a new one starts with an empty ledger. */
  restart(record: TargetsVersion): void {
    this.target.isDead = true;
    this.life.abort();
    this.life = new AbortController();
    this.isFrozen = false;
    this.waiting = [];
    this.record = record;
    this.startLife(Date.now() + CLOCK_SKEW_MS);
  }

  applyRecord(record: TargetsVersion): void {
    if (record.version <= this.record.version) return;
    this.record = record;
    this.ownership.applyTargets(POOL, record.ids, Date.now());
  }

  thaw(): void {
    this.isFrozen = false;
    for (const wake of this.waiting.splice(0)) wake();
  }

  /** Resolves once the host is not frozen. */
  async waitAwake(): Promise<void> {
    if (!this.isFrozen) return;
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  async receive(
    request: DispatchRequest,
    onChunk: (notice: ChunkNotice) => void,
  ): Promise<DispatchOutcome> {
    await this.waitAwake();
    return this.intake.dispatch(request, this, onChunk);
  }

  private startLife(bornAt: number): void {
    this.target = new WorldTarget(this);
    this.ownership = createKeyOwnership({
      targetId: this.id,
      bornAt,
      retainMs: RETAIN_MS,
    });
    this.ownership.applyTargets(POOL, this.record.ids, Date.now());
    this.intake = new Intake({
      target: this.target,
      lanes: createLanes({short: 2, long: 1}),
      ledger: createLedger({retainMs: RETAIN_MS}),
      ownership: this.ownership,
      counters: createCounters(),
      shortMaxTokens: 100,
      readRecordVersion: () => this.record.version,
      onWorkChange: () => {},
    });
  }
}

/** A gate's link to one host. */
class WorldLink implements TargetLink {
  readonly zone = 'az-1';
  readonly outstanding = 0;
  readonly load = undefined;
  readonly unreportedByClass = [0, 0, 0, 0];

  constructor(private readonly host: Host) {}

  get id(): string {
    return this.host.id;
  }

  get isUsable(): boolean {
    return !this.host.isCut;
  }

  async dispatch(
    request: DispatchRequest,
    onChunk: (notice: ChunkNotice) => void,
    bounds: DispatchBounds,
  ): Promise<DispatchOutcome> {
    const {host} = this;
    if (host.isCut) throw new TargetUnreachableError({}, 'link is cut');
    const life = host.lifeSignal;
    const silenceMs =
      host.isFrozen && bounds.acceptMs !== undefined
        ? bounds.acceptMs
        : bounds.answerMs;
    let isOver = false;
    const deliver = (notice: ChunkNotice) => {
      if (host.chunksToLose > 0) {
        host.chunksToLose--;
        return;
      }
      if (!isOver && !life.aborted && !host.isCut) onChunk(notice);
    };
    const answer = host.receive(request, deliver).then(async outcome => {
      await host.waitAwake();
      if (host.isCut) throw new RpcClosedError({}, 'link was cut');
      return outcome;
    });
    answer.catch(() => undefined);
    try {
      return await Promise.race([
        answer,
        new Promise<never>((_resolve, reject) =>
          life.addEventListener('abort', () =>
            reject(new RpcClosedError({}, 'agent was killed')),
          ),
        ),
        new Promise<never>((_resolve, reject) =>
          setTimeout(
            () => reject(new RpcFailedError({}, 'no answer')),
            silenceMs,
          ),
        ),
      ]);
    } finally {
      isOver = true;
    }
  }

  cancel(requestId: string): void {
    if (!this.host.isCut) this.host.intake.cancel(requestId);
  }
}

/** A gate: one dispatcher and the record it holds. */
class WorldGate implements TargetDirectory {
  readonly dispatcher: Dispatcher;

  constructor(
    private readonly hosts: ReadonlyMap<string, Host>,
    public record: TargetsVersion,
  ) {
    this.dispatcher = createDispatcher({
      directory: this,
      router: new RoundRobinRouter(),
      counters: createCounters(),
      maxAttempts: 3,
      acceptTimeoutMs: 200,
      retryBudget: createRetryBudget(),
    });
  }

  listUsable(): TargetLink[] {
    return this.record.ids
      .map(id => new WorldLink(this.hosts.get(id) as Host))
      .filter(link => link.isUsable);
  }

  async findHome(_pool: string, key: string): Promise<TargetLink | undefined> {
    const id = findHome(this.record.ids, key);
    const host = id === undefined ? undefined : this.hosts.get(id);
    return host === undefined || host.isCut ? undefined : new WorldLink(host);
  }
}

/** One request and what its caller was told. */
export interface SentRequest {
  readonly requestId: string;
  readonly key?: string;
  readonly notRepeatable: boolean;
  result?: DispatchResult;
  text: string;
}

/** Kinds of request a caller sends. */
export type RequestKind = 'repeatable' | 'rule' | 'keyed';

/**
 * Hosts, gates and callers of one run of a property.
 *
 * @example
 * const world = new World(3, 2);
 * world.send(0, 'keyed', 0);
 * await world.advance(500);
 */
export class World {
  readonly hosts = new Map<string, Host>();
  readonly sent: SentRequest[] = [];
  private gates: WorldGate[];
  private record: TargetsVersion;
  private readonly mintedAt = new Map<number, number>();

  constructor(hostCount: number, gateCount: number) {
    const ids = [...'abcdefgh'].slice(0, hostCount);
    this.record = {version: 1, ids};
    for (const id of ids)
      this.hosts.set(id, new Host(id, this.record, -Infinity));
    this.gates = Array.from(
      {length: gateCount},
      () => new WorldGate(this.hosts, this.record),
    );
  }

  /** The host with index `i`, wrapping round. */
  pickHost(i: number): Host {
    const all = [...this.hosts.values()];
    return all[i % all.length];
  }

  /** Sends a request; the same `keyIndex` again is the caller's retry. */
  send(gateIndex: number, kind: RequestKind, keyIndex: number): void {
    const gate = this.gates[gateIndex % this.gates.length];
    const requestId = `r${this.sent.length}`;
    const isKeyed = kind === 'keyed';
    if (isKeyed && !this.mintedAt.has(keyIndex))
      this.mintedAt.set(keyIndex, Date.now());
    const ledgerKey = isKeyed ? `key-${keyIndex}` : requestId;
    const sent: SentRequest = {
      requestId,
      key: isKeyed ? ledgerKey : undefined,
      notRepeatable: kind !== 'repeatable',
      text: '',
    };
    this.sent.push(sent);
    const chunks = createChunkStream();
    const observed = chunks.observe(text => (sent.text += text));
    const run = gate.dispatcher.run({
      request: {
        requestId,
        account: 'a',
        pool: POOL,
        kind: 'generate',
        prompt: 'p',
        maxTokens: ANSWER_PIECES,
        deadlineAt: Date.now() + DEADLINE_MS,
        notRepeatable: sent.notRepeatable,
        ledgerKey: sent.notRepeatable ? ledgerKey : undefined,
        keyed: isKeyed,
        keyMintedAt: isKeyed ? this.mintedAt.get(keyIndex) : undefined,
        recordVersion: gate.record.version,
      },
      route: {promptTokens: 1, maxTokens: 3, isLong: false, prefixes: []},
      resumable: true,
      chunks,
      signal: new AbortController().signal,
    });
    void run.then(async result => {
      chunks.end();
      await observed;
      sent.result = result;
    });
  }

  /** A gate process dies and a new one takes its place. */
  restartGate(i: number): void {
    this.gates[i % this.gates.length] = new WorldGate(this.hosts, this.record);
  }

  /** The operator takes a target out of the pool, or back in. */
  publishTargets(drop: number | undefined): void {
    const all = [...this.hosts.keys()];
    const ids = all.filter((_id, i) => i !== drop);
    this.record = {version: this.record.version + 1, ids};
  }

  /** Gate `i` and host `j` accept the newest record. */
  applyRecord(gateIndex: number, hostIndex: number): void {
    this.gates[gateIndex % this.gates.length].record = this.record;
    this.pickHost(hostIndex).applyRecord(this.record);
  }

  restartHost(i: number): void {
    this.pickHost(i).restart(this.record);
  }

  /** Everyone holds the newest record, as the bound of configuration says. */
  settleRecord(): void {
    for (const gate of this.gates) gate.record = this.record;
    for (const host of this.hosts.values()) host.applyRecord(this.record);
  }

  /** Runs of the not-repeatable request with this key or id. */
  countRuns(match: {
    readonly key?: string;
    readonly requestId?: string;
  }): number {
    return [...this.hosts.values()]
      .flatMap(host => host.runs)
      .filter(run =>
        match.key === undefined
          ? run.requestId === match.requestId
          : run.key === match.key,
      ).length;
  }

  /** Moves time on in small steps, letting every task run in between. */
  async advance(
    ms: number,
    tick: (stepMs: number) => void,
    stepMs = 20,
  ): Promise<void> {
    for (let at = 0; at < ms; at += stepMs) {
      tick(stepMs);
      await waitImmediate();
      await waitImmediate();
    }
  }
}
