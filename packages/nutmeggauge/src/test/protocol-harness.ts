/**
 * Test harness for property tests of the protocol between gates and agents:
 * real dispatchers and agent-side request handling, with links, targets and
 * clocks under the test's control. Uses no sockets; time advances only through
 * node:test's mock timers.
 */
import {setImmediate as waitImmediate} from 'node:timers/promises';
import {
  CrashGuard,
  DispatchHandler,
  TargetClient,
  createKeyOwnership,
  createLanes,
  createLedger,
} from '@nutmeggauge/agent';
import {
  CLOCK_SKEW_MS,
  RpcClosedError,
  RpcFailedError,
  ServerCheck,
  TargetUnreachableError,
  createCounters,
  createSuspectRequests,
  findHome,
} from '@nutmeggauge/core';
import {
  RoundRobinRouter,
  createChunkStream,
  createDispatcher,
  createRetryBudget,
  HeldRequest,
} from '@nutmeggauge/gate';
import type {
  ChunkNotification,
  DispatchOutcome,
  DispatchRequest,
  ServerState,
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
/** Number of chunks in every answer; each chunk has one token. */
export const ANSWER_CHUNKS = 3;
/** Time that a target takes per chunk, in ms. */
const CHUNK_MS = 20;
const DEADLINE_MS = 2000;
/** Time for which agents retain idempotency keys, in ms. */
const RETAIN_MS = 60_000;

/** How a target treats the requests that it receives from now on. */
export type TargetMode = 'answer' | 'refuse' | 'die-after-running';

/** Target ids of the pool in one version of the configuration record. */
interface VersionedTargets {
  readonly version: number;
  readonly ids: readonly string[];
}

/**
 * Target client of one agent incarnation; runs nothing once the agent is
 * killed.
 */
class HarnessTarget extends TargetClient {
  isKilled = false;

  constructor(private readonly host: Host) {
    super('world');
  }

  async run(
    request: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    if (this.isKilled) return new Promise(() => {});
    if (this.host.mode === 'refuse')
      return {status: 'not-run', reason: 'target_rejected'};
    this.host.runs.push({
      requestId: request.requestId,
      key: request.ledgerKey,
    });
    if (this.host.mode === 'die-after-running')
      return {status: 'unknown', reason: 'target_failed'};
    const letter = /^\D+/.exec(request.resume?.text ?? '')?.[0] ?? this.host.id;
    for (let seq = request.resume?.fromSeq ?? 0; seq < ANSWER_CHUNKS; seq++) {
      await new Promise(resolve => setTimeout(resolve, CHUNK_MS));
      if (signal.aborted) return {status: 'unknown', reason: 'cancelled'};
      sink(seq, `${letter}${seq}`);
    }
    return {status: 'done', chunks: ANSWER_CHUNKS, tokens: 3, cachedTokens: 0};
  }
}

/**
 * A target host: the current incarnation of its agent, and the requests its
 * target ran.
 */
class Host {
  mode: TargetMode = 'answer';
  isFrozen = false;
  isCut = false;
  /**
   * Number of chunks that the links to this host drop next, like a faulty
   * relay.
   */
  chunksToDrop = 0;
  readonly runs: Array<{readonly requestId: string; readonly key?: string}> =
    [];
  dispatchHandler!: DispatchHandler;
  /**
   * Aborted when the current incarnation of the agent is killed, to close its
   * links.
   */
  private incarnationController = new AbortController();
  private target!: HarnessTarget;
  private ownership!: KeyOwnership;
  private waiting: Array<() => void> = [];
  private record: VersionedTargets;

  constructor(
    readonly id: string,
    record: VersionedTargets,
    bornAt: number,
  ) {
    this.record = record;
    this.startIncarnation(bornAt);
  }

  get incarnationSignal(): AbortSignal {
    return this.incarnationController.signal;
  }

  /** Kills the agent and starts a new incarnation with an empty ledger. */
  restart(record: VersionedTargets): void {
    this.target.isKilled = true;
    this.incarnationController.abort();
    this.incarnationController = new AbortController();
    this.isFrozen = false;
    this.waiting = [];
    this.record = record;
    this.startIncarnation(Date.now() + CLOCK_SKEW_MS);
  }

  applyRecord(record: VersionedTargets): void {
    if (record.version <= this.record.version) return;
    this.record = record;
    this.ownership.applyTargets(POOL, record.ids, Date.now());
  }

  thaw(): void {
    this.isFrozen = false;
    for (const resolve of this.waiting.splice(0)) resolve();
  }

  /** Resolves once the host is not frozen any more. */
  async waitUntilThawed(): Promise<void> {
    if (!this.isFrozen) return;
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  async receive(
    request: DispatchRequest,
    onChunk: (notice: ChunkNotification) => void,
  ): Promise<DispatchOutcome> {
    await this.waitUntilThawed();
    return this.dispatchHandler.dispatch(request, this, onChunk);
  }

  private startIncarnation(bornAt: number): void {
    this.target = new HarnessTarget(this);
    this.ownership = createKeyOwnership({
      targetId: this.id,
      bornAt,
      retainMs: RETAIN_MS,
    });
    this.ownership.applyTargets(POOL, this.record.ids, Date.now());
    this.dispatchHandler = new DispatchHandler({
      target: this.target,
      lanes: createLanes({short: 2, long: 1}),
      ledger: createLedger({retainMs: RETAIN_MS}),
      ownership: this.ownership,
      crashGuard: createTestGuard(this.id),
      counters: createCounters(),
      shortMaxTokens: 100,
      readRecordVersion: () => this.record.version,
      onLoadChange: () => {},
    });
  }
}

/** Finds every server up, because targets of the harness never end. */
class SteadyServerCheck extends ServerCheck {
  override async check(): Promise<ServerState> {
    return 'up';
  }
}

/** Creates a guard of a target that never crashes. */
function createTestGuard(targetId: string): CrashGuard {
  return new CrashGuard({
    targetId,
    address: {host: '127.0.0.1', port: 1},
    serverCheck: new SteadyServerCheck(),
    suspects: createSuspectRequests(),
    readNow: Date.now,
  });
}

/** Link from a gate to the agent of one host. */
class HarnessLink implements TargetLink {
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
    onChunk: (notice: ChunkNotification) => void,
    bounds: DispatchBounds,
  ): Promise<DispatchOutcome> {
    const {host} = this;
    if (host.isCut) throw new TargetUnreachableError({}, 'link is cut');
    const incarnationSignal = host.incarnationSignal;
    const responseTimeoutMs =
      host.isFrozen && bounds.ackTimeoutMs !== undefined
        ? bounds.ackTimeoutMs
        : bounds.answerTimeoutMs;
    let hasEnded = false;
    const deliver = (notice: ChunkNotification) => {
      if (host.chunksToDrop > 0) {
        host.chunksToDrop--;
        return;
      }
      if (!hasEnded && !incarnationSignal.aborted && !host.isCut)
        onChunk(notice);
    };
    const answer = host.receive(request, deliver).then(async outcome => {
      await host.waitUntilThawed();
      if (host.isCut) throw new RpcClosedError({}, 'link was cut');
      return outcome;
    });
    answer.catch(() => undefined);
    try {
      return await Promise.race([
        answer,
        new Promise<never>((_resolve, reject) =>
          incarnationSignal.addEventListener('abort', () =>
            reject(new RpcClosedError({}, 'agent was killed')),
          ),
        ),
        new Promise<never>((_resolve, reject) =>
          setTimeout(
            () => reject(new RpcFailedError({}, 'no answer')),
            responseTimeoutMs,
          ),
        ),
      ]);
    } finally {
      hasEnded = true;
    }
  }

  cancel(requestId: string): void {
    if (!this.host.isCut) this.host.dispatchHandler.cancel(requestId);
  }

  cancelQueued(requestId: string): void {
    if (!this.host.isCut) this.host.dispatchHandler.cancelQueued(requestId);
  }
}

/** A gate with its dispatcher and the configuration record that it holds. */
class HarnessGate implements TargetDirectory {
  readonly dispatcher: Dispatcher;

  constructor(
    private readonly hosts: ReadonlyMap<string, Host>,
    public record: VersionedTargets,
  ) {
    this.dispatcher = createDispatcher({
      directory: this,
      router: new RoundRobinRouter(),
      counters: createCounters(),
      maxAttempts: 3,
      acceptTimeoutMs: 200,
      retryBudget: createRetryBudget(),
      suspects: createSuspectRequests(),
      waitForReads: async () => undefined,
    });
  }

  listUsable(): TargetLink[] {
    return this.record.ids
      .map(id => new HarnessLink(this.hosts.get(id) as Host))
      .filter(link => link.isUsable);
  }

  async findHome(_pool: string, key: string): Promise<TargetLink | undefined> {
    const id = findHome(this.record.ids, key);
    const host = id === undefined ? undefined : this.hosts.get(id);
    return host === undefined || host.isCut ? undefined : new HarnessLink(host);
  }
}

/** One request with the result and the text that its caller received. */
export interface SentRequest {
  readonly requestId: string;
  readonly key?: string;
  readonly notRepeatable: boolean;
  result?: DispatchResult;
  text: string;
}

/**
 * Kinds of requests: repeatable, not repeatable by rule, or with an idempotency
 * key.
 */
export type RequestKind = 'repeatable' | 'rule' | 'keyed';

/**
 * Simulates the hosts, gates and callers of one run of a property test.
 *
 * @example
 * const harness = new ProtocolHarness(3, 2);
 * harness.send(0, 'keyed', 0);
 * await harness.advance(500, ms => mock.timers.tick(ms));
 */
export class ProtocolHarness {
  readonly hosts = new Map<string, Host>();
  readonly sent: SentRequest[] = [];
  private gates: HarnessGate[];
  private record: VersionedTargets;
  private readonly keyCreationTimes = new Map<number, number>();

  constructor(hostCount: number, gateCount: number) {
    const ids = [...'abcdefgh'].slice(0, hostCount);
    this.record = {version: 1, ids};
    for (const id of ids)
      this.hosts.set(id, new Host(id, this.record, -Infinity));
    this.gates = Array.from(
      {length: gateCount},
      () => new HarnessGate(this.hosts, this.record),
    );
  }

  /** Returns the host with index `i`, modulo the number of hosts. */
  pickHost(i: number): Host {
    const allHosts = [...this.hosts.values()];
    return allHosts[i % allHosts.length];
  }

  /**
   * Sends a request; a further keyed request with the same `keyIndex` is a
   * retry by the caller.
   */
  send(gateIndex: number, kind: RequestKind, keyIndex: number): void {
    const gate = this.gates[gateIndex % this.gates.length];
    const requestId = `r${this.sent.length}`;
    const isKeyed = kind === 'keyed';
    if (isKeyed && !this.keyCreationTimes.has(keyIndex))
      this.keyCreationTimes.set(keyIndex, Date.now());
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
        maxTokens: ANSWER_CHUNKS,
        deadlineAt: Date.now() + DEADLINE_MS,
        notRepeatable: sent.notRepeatable,
        ledgerKey: sent.notRepeatable ? ledgerKey : undefined,
        keyed: isKeyed,
        keyMintedAt: isKeyed ? this.keyCreationTimes.get(keyIndex) : undefined,
        recordVersion: gate.record.version,
      },
      route: {promptTokens: 1, maxTokens: 3, isLongPrompt: false, prefixes: []},
      resumable: true,
      chunks,
      signal: new AbortController().signal,
      held: new HeldRequest(requestId, {
        headersSent: false,
        writableEnded: false,
      }),
    });
    void run.then(async result => {
      chunks.end();
      await observed;
      sent.result = result;
    });
  }

  /** Replaces a gate by a new one that holds the newest record. */
  restartGate(i: number): void {
    this.gates[i % this.gates.length] = new HarnessGate(
      this.hosts,
      this.record,
    );
  }

  /**
   * Publishes a record with all targets, or without the target at index `drop`.
   */
  publishTargets(drop: number | undefined): void {
    const allIds = [...this.hosts.keys()];
    const ids = allIds.filter((_id, i) => i !== drop);
    this.record = {version: this.record.version + 1, ids};
  }

  /** Applies the newest record to one gate and to one host. */
  applyRecord(gateIndex: number, hostIndex: number): void {
    this.gates[gateIndex % this.gates.length].record = this.record;
    this.pickHost(hostIndex).applyRecord(this.record);
  }

  restartHost(i: number): void {
    this.pickHost(i).restart(this.record);
  }

  /**
   * Applies the newest record to all gates and hosts, which happens within the
   * bound on propagation.
   */
  applyRecordEverywhere(): void {
    for (const gate of this.gates) gate.record = this.record;
    for (const host of this.hosts.values()) host.applyRecord(this.record);
  }

  /**
   * Counts the runs of requests with this key or, without a key, with this id.
   */
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

  /**
   * Advances time by `ms` in small steps and lets pending tasks run after each
   * step.
   */
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
