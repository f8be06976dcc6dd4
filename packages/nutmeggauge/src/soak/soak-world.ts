/**
 * The system under test: gates as processes, stand-ins of store and targets,
 * and a faulty link between each pair.
 */
import {mkdirSync} from 'node:fs';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {
  StoreStandin,
  TargetStandin,
  buildConfigDocument,
} from '@nutmeggauge/platform';
import {startBusy} from '../faults/busy.js';
import {FaultyLink} from './faulty-link.js';
import {GateProcess} from './gate-process.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {GateEntry} from './callers.js';
import type {GateOutage, UnexpectedExit} from './gate-process.js';
import type {PublishedFact} from './history.js';
import type {FaultAction} from './schedule.js';

const INGRESS_PORT = 24_100;
const READY_PORT = 24_101;
const PEER_PORT = 24_110;

/** Targets from this index on are plain services, those before engines. */
const FIRST_PLAIN = 4;

/** Time until the entry of a silent target expires, in ms. */
const LAPSE_MS = 1500;

/** Time without the store before it comes back from a copy, in ms. */
const RESTORE_AWAY_MS = 300;

/** How long a draining target goes on serving, in ms. */
const LEAVE_MS = 3500;

interface Slot {
  standin: TargetStandin;
  link: FaultyLink;
}

interface Gate {
  readonly process: GateProcess;
  readonly storeLink: FaultyLink;
  readonly callerLink: FaultyLink;
  readonly entry: GateEntry;
}

/**
 * One system.
 *
 * @example
 * const world = new SoakWorld('runs/soak-7', 3, 6, 15_000);
 * await world.start();
 */
export class SoakWorld {
  readonly store = new StoreStandin();
  readonly runs: TargetRun[] = [];
  readonly published: PublishedFact[] = [];
  readonly exits: UnexpectedExit[] = [];
  /** The key in force; earlier ones are revoked. */
  key = 'key-1';
  private readonly slots: Slot[] = [];
  private readonly retired: TargetStandin[] = [];
  private readonly gates: Gate[] = [];
  private version = 1;
  private lastTarget = 0;
  private isClosed = false;

  constructor(
    private readonly folder: string,
    private readonly gateCount: number,
    private readonly targetCount: number,
    private readonly idleTimeoutMs: number,
  ) {}

  get entries(): readonly GateEntry[] {
    return this.gates.map(gate => gate.entry);
  }

  /** Times in which a gate did not listen. */
  get outages(): readonly GateOutage[] {
    return this.gates.flatMap(gate => gate.process.outages);
  }

  /** Largest memory of any gate, in bytes. */
  get peakBytes(): number {
    return Math.max(...this.gates.map(gate => gate.process.peakBytes));
  }

  /** Starts everything; the gates may take longer. */
  async start(): Promise<void> {
    mkdirSync(this.folder, {recursive: true});
    const storePort = await this.store.start();
    this.publishConfig();
    for (let i = 0; i < this.targetCount; i++)
      this.slots.push(await this.startTarget(i));
    for (let i = 0; i < this.gateCount; i++)
      this.gates.push(await this.startGate(i, storePort));
  }

  /** Ends every process and listener. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.gates.map(gate => gate.process.close()));
    for (const {storeLink, callerLink} of this.gates) {
      storeLink.stop();
      callerLink.stop();
    }
    for (const {standin, link} of this.slots) {
      link.stop();
      await standin.stop();
    }
    await this.store.stop();
  }

  /** Samples the memory of every gate. */
  async sampleMemory(): Promise<void> {
    await Promise.all(this.gates.map(gate => gate.process.sampleMemory()));
  }

  /** Lists reservations held at any target, former ones included. */
  listHeldTickets(): readonly string[] {
    return [...this.slots.map(({standin}) => standin), ...this.retired].flatMap(
      standin => standin.listHeld().map(ticket => `${standin.id}/${ticket}`),
    );
  }

  /** Starts a fault; the result ends it. */
  begin(action: FaultAction): () => void {
    switch (action.kind) {
      case 'gate-kill':
        return this.runOnce(() => this.gates[action.gate].process.kill());
      case 'gate-drain':
        return this.runOnce(() => this.gates[action.gate].process.drain());
      case 'gate-pause':
        this.gates[action.gate].process.freeze();
        return () => this.gates[action.gate].process.resume();
      case 'gate-reload':
        return this.runOnce(() =>
          this.gates[action.gate].process.reload(this.listHosts().reverse()),
        );
      case 'all-gates-kill':
        return this.runOnce(() =>
          this.gates.forEach(gate => gate.process.kill()),
        );
      case 'busy':
        return startBusy();
      case 'store':
        this.store.mode = action.mode;
        return () => (this.store.mode = 'up');
      case 'store-history':
        return this.runOnce(() => this.store.dropHistory());
      case 'store-restore':
        return this.runOnce(() =>
          this.store.restore({ageMs: action.ageMs, awayMs: RESTORE_AWAY_MS}),
        );
      case 'store-link':
        return this.setLinkMode(this.gates[action.gate].storeLink, action.mode);
      case 'caller-link':
        return this.setLinkMode(
          this.gates[action.gate].callerLink,
          action.mode,
        );
      case 'target-link':
        return this.setLinkMode(this.slots[action.target].link, action.mode);
      case 'link-reset':
        return this.runOnce(() => this.slots[action.target].link.dropAll());
      case 'target-crash':
        return this.runOnce(() => this.killTarget(action.target));
      case 'target-leave':
        return this.runOnce(() => this.drainTarget(action.target));
      case 'target-mode':
        return this.setTargetMode(this.slots[action.target], action.mode);
      case 'config-change':
        return this.runOnce(() => this.publishConfig());
      case 'key-revoke':
        return this.runOnce(() => this.dropKey());
    }
  }

  /** Runs a fault without an end. */
  private runOnce(act: () => void): () => void {
    act();
    return () => undefined;
  }

  private setLinkMode(link: FaultyLink, mode: FaultyLink['mode']): () => void {
    link.mode = mode;
    return () => {
      link.mode = 'pass';
      // Connections that lost bytes cannot be used again.
      link.dropAll();
    };
  }

  private setTargetMode(
    {standin}: Slot,
    mode: TargetStandin['mode'],
  ): () => void {
    standin.mode = mode;
    return () => (standin.mode = 'sound');
  }

  private publishConfig(): void {
    const keys = [this.key];
    this.store.publishConfig(
      buildConfigDocument(this.version, keys, this.idleTimeoutMs),
    );
    this.version += 2;
  }

  private dropKey(): void {
    const old = this.key;
    this.key = `key-${this.version}`;
    this.publishConfig();
    this.published.push({
      kind: 'key-revoked',
      id: old,
      at: performance.now(),
    });
  }

  private async startTarget(index: number): Promise<Slot> {
    const id = `t${index}-${++this.lastTarget}`;
    const standin = new TargetStandin(id, this.runs);
    const link = new FaultyLink(await standin.start());
    const port = await link.start();
    if (!this.isClosed)
      this.store.publishServer(id, {
        service: index < FIRST_PLAIN ? 'chat' : 'orders',
        address: `127.0.0.1:${port}`,
        zone: 'z',
        state: 'ready',
      });
    return {standin, link};
  }

  /** Kills a target without notice and replaces it. */
  private killTarget(index: number): void {
    const {standin, link} = this.slots[index];
    this.retired.push(standin);
    link.stop();
    void standin.stop();
    setTimeout(() => this.store.dropServer(standin.id), LAPSE_MS);
    void this.replaceTarget(index);
  }

  /** Drains a target and replaces it. */
  private drainTarget(index: number): void {
    const {standin, link} = this.slots[index];
    this.retired.push(standin);
    this.store.publishServer(standin.id, {
      service: index < FIRST_PLAIN ? 'chat' : 'orders',
      address: '127.0.0.1:1',
      zone: 'z',
      state: 'draining',
    });
    this.published.push({
      kind: 'target-draining',
      id: standin.id,
      at: performance.now(),
    });
    setTimeout(() => {
      this.store.dropServer(standin.id);
      link.stop();
      void standin.stop();
    }, LEAVE_MS);
    void this.replaceTarget(index);
  }

  private async replaceTarget(index: number): Promise<void> {
    this.slots[index] = await this.startTarget(index);
  }

  private listHosts(): string[] {
    return Array.from({length: this.gateCount}, (_, i) => buildLoopbackHost(i));
  }

  private async startGate(index: number, storePort: number): Promise<Gate> {
    const host = buildLoopbackHost(index);
    const storeLink = new FaultyLink(storePort);
    const callerLink = new FaultyLink(INGRESS_PORT, host);
    const process = new GateProcess(
      {
        node: `gate-${index}`,
        host,
        ingressPort: INGRESS_PORT,
        readyPort: READY_PORT,
        peerPort: PEER_PORT,
        store: `127.0.0.1:${await storeLink.start()}`,
        seedHosts: this.listHosts(),
      },
      this.folder,
      exit => this.exits.push(exit),
    );
    process.start();
    const entry = {gate: index, port: await callerLink.start()};
    return {process, storeLink, callerLink, entry};
  }
}
