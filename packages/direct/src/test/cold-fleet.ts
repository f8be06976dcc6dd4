/** Many gates that send to one cold target over a network with faults. */
import {createCounters} from '@nutmeggauge/core';
import {TargetLimits} from '../limits/target-limits.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {HeartbeatSchema} from '../peers/messages.js';
import {PeerTable} from '../peers/peer-table.js';
import {buildTarget} from './build-target.js';
import type {PermitQuestion} from '../limits/permits.js';
import type {FakeClock} from './fake-clock.js';

/** Longest one-way delay of a datagram or of a connection, in ms. */
const MAX_DELAY_MS = 6;

/** Longest time from a permit until the gate looks at the request again, in ms. */
const MAX_SEND_DELAY_MS = 30;

const HEARTBEAT_MS = 1000;

/** Target that is cold. */
export const COLD_ID = 'i-cold';

/** Figures of the sheet: 28 x 1.5 + 5 = 47 requests in any second. */
export const COLD_BOUND = 47;
const BOUNDS = {overage: 1.5, slack: 5};
const SERVICE = {
  name: 'chat',
  engine: undefined,
  coldStart: {durationMs: 60_000, requestsPerSecond: 28},
};

/** Options of a fleet. */
export interface ColdFleetOptions {
  readonly gates: number;
  /** Share of the datagrams that are lost. */
  readonly lossShare: number;
  /** Time between two attempts of a gate to send, in ms. */
  readonly attemptMs: number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** One gate of a fleet. */
export interface ColdGate {
  readonly host: string;
  readonly limits: TargetLimits;
  readonly table: PeerTable;
  readonly startedAt: number;
  nextHeartbeatAt: number;
}

/**
 * Gates that send to one target as fast as their permits allow.
 *
 * @example
 * const fleet = new ColdFleet(clock, {gates: 27, lossShare: 0, attemptMs: 5, random});
 * await fleet.runFor(7000);
 * fleet.startCold();
 */
export class ColdFleet {
  /** Times at which requests arrived at the target, in ms. */
  readonly arrivals: number[] = [];
  gates: readonly ColdGate[] = [];
  /** Returns whether datagrams between two hosts are lost. */
  isCut: (a: string, b: string) => boolean = () => false;
  private isCold = false;

  constructor(
    private readonly clock: FakeClock,
    private readonly options: ColdFleetOptions,
  ) {
    const {gates} = options;
    this.gates = this.hosts.slice(0, gates).map(host => this.buildGate(host));
  }

  /** Lets the gates run for `ms`; they send once the target is cold. */
  async runFor(ms: number): Promise<void> {
    const endsAt = this.clock.now + ms;
    const {attemptMs} = this.options;
    while (this.clock.now < endsAt) {
      await this.clock.advance(attemptMs);
      for (const gate of this.gates) {
        this.sendHeartbeat(gate);
        if (this.isCold) void this.trySend(gate);
      }
    }
  }

  /** Lets all gates know that the target is cold. */
  startCold(): void {
    this.isCold = true;
    for (const gate of this.gates) this.markCold(gate);
  }

  /** Finds the gate that grants the permits of the target. */
  findHome(): ColdGate | undefined {
    const [{limits}] = this.gates;
    const host = limits.permits['findHome'](COLD_ID);
    return this.gates.find(gate => gate.host === host);
  }

  /** Kills a gate. */
  kill(gate: ColdGate): void {
    this.gates = this.gates.filter(other => other !== gate);
  }

  /** Starts a gate again that knows only the hosts of the others. */
  restart({host}: ColdGate): void {
    const gate = this.buildGate(host);
    this.gates = [...this.gates, gate];
    this.markCold(gate);
  }

  private get hosts(): readonly string[] {
    return Array.from({length: this.options.gates}, (_, i) => `10.0.${i}.1`);
  }

  private markCold({limits}: ColdGate): void {
    const target = buildTarget(COLD_ID, 7);
    limits.cold.observeEntry({...target, coldLeftMs: 60_000}, false, true);
  }

  private buildGate(host: string): ColdGate {
    const readNow = () => this.clock.now;
    const log = createDecisionLog({
      proc: host,
      output: process.stderr,
      readWallMs: () => 0,
    });
    log.info = () => undefined;
    const table = new PeerTable(host, readNow);
    for (const other of this.hosts) table.findOrAddPeer(other);
    const limits = new TargetLimits({
      host,
      listGates: () => [host, ...table.listAlive().map(peer => peer.host)],
      messenger: {askPermit: (to, question) => this.ask(to, question)},
      announce: () => undefined,
      counters: createCounters(),
      log,
      readNow,
      cold: {
        bounds: BOUNDS,
        findService: () => SERVICE,
        measureGrantShare: id => table.measureGrantShare(id),
        onCold: () => undefined,
      },
    });
    const {now} = this.clock;
    const nextHeartbeatAt = now + HEARTBEAT_MS * this.options.random();
    return {host, limits, table, startedAt: now, nextHeartbeatAt};
  }

  private sendHeartbeat(gate: ColdGate): void {
    const {now} = this.clock;
    if (gate.nextHeartbeatAt > now) return;
    gate.nextHeartbeatAt += HEARTBEAT_MS;
    const {host, table} = gate;
    const heartbeat = HeartbeatSchema.parse({
      from: host,
      incarnation: String(gate.startedAt),
      configVersion: 1,
      era: 0,
      revision: 0,
      factsAgeMs: 0,
      members: table.hashMembers(),
      known: table.listHosts().length,
    });
    for (const other of this.gates) {
      if (other === gate || this.isLost(host, other.host)) continue;
      const peer = other.table.findOrAddPeer(host);
      other.table.recordHeartbeat(peer, heartbeat);
    }
  }

  private async trySend(gate: ColdGate): Promise<void> {
    const {access} = gate.limits;
    if (!(await access.claim(COLD_ID))) return;
    this.runLater(MAX_SEND_DELAY_MS, () => {
      if (!this.gates.includes(gate) || !access.settlePermit(COLD_ID)) return;
      this.runLater(MAX_DELAY_MS, () => this.arrivals.push(this.clock.now));
    });
  }

  private ask(to: string, question: PermitQuestion): void {
    this.sendLate(question.from, to, () => {
      const home = this.gates.find(({host}) => host === to);
      const answer = home?.limits.permits.answer(question);
      if (answer === undefined) return;
      this.sendLate(to, question.from, () =>
        this.gates
          .find(({host}) => host === question.from)
          ?.limits.permits.receive(answer),
      );
    });
  }

  private sendLate(from: string, to: string, run: () => void): void {
    if (!this.isLost(from, to)) this.runLater(MAX_DELAY_MS, run);
  }

  private isLost(from: string, to: string): boolean {
    const {random, lossShare} = this.options;
    return this.isCut(from, to) || random() < lossShare;
  }

  private runLater(maxMs: number, run: () => void): void {
    setTimeout(run, maxMs * this.options.random());
  }
}
