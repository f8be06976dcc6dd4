/**
 * Test harness of the soak: gates as child processes, stand-ins for the store
 * and the targets, and a faulty link in front of the store, each target and
 * each gate.
 */
import {mkdirSync} from 'node:fs';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {StoreStandin, buildConfigDocument} from '@nutmeggauge/platform';
import {startCpuLoad} from '../faults/busy.js';
import {COLD_BOUNDS, COLD_START} from './cold-starts.js';
import {FaultyLink} from './faulty-link.js';
import {GateProcess} from './gate-process.js';
import {SoakTargets} from './soak-targets.js';
import {SoakEvacuations} from './soak-zones.js';
import type {GateEndpoint} from './callers.js';
import type {GateOutage, GateStop, UnexpectedExit} from './gate-process.js';
import type {PublishedFact} from './history.js';
import type {FaultAction} from './schedule.js';
import type {SoakTargetOptions} from './soak-targets.js';

const INGRESS_PORT = 24_100;
const READY_PORT = 24_101;
const PEER_PORT = 24_110;

/**
 * Duration of the outage before the store is restored from an older copy, in
 * ms.
 */
const RESTORE_OUTAGE_MS = 300;

/** One gate process and the links in front of it and of its store. */
interface GateSlot {
  readonly process: GateProcess;
  readonly storeLink: FaultyLink;
  readonly callerLink: FaultyLink;
  readonly endpoint: GateEndpoint;
}

/**
 * Runs one system under test and injects faults into it.
 *
 * @example
 * const harness = new SoakHarness('runs/soak-7', 3, 6, 15_000);
 * await harness.start();
 */
export class SoakHarness {
  readonly store = new StoreStandin();
  readonly published: PublishedFact[] = [];
  readonly exits: UnexpectedExit[] = [];
  readonly targets: SoakTargets;
  readonly evacuations = new SoakEvacuations(this.store);
  /** API key in force; earlier keys are revoked. */
  key = 'key-1';
  private readonly gates: GateSlot[] = [];
  private version = 1;

  constructor(
    private readonly folder: string,
    private readonly gateCount: number,
    private readonly targetCount: number,
    private readonly idleTimeoutMs: number,
    private readonly options: SoakTargetOptions = {limit: 0},
  ) {
    this.targets = new SoakTargets(this.store, this.published, options);
  }

  get endpoints(): readonly GateEndpoint[] {
    return this.gates.map(gate => gate.endpoint);
  }

  /** Periods in which a gate did not listen. */
  get outages(): readonly GateOutage[] {
    return this.gates.flatMap(gate => gate.process.outages);
  }

  /** First SIGTERM of each gate process that got one. */
  get stops(): readonly GateStop[] {
    return this.gates.flatMap(gate => gate.process.stops);
  }

  /** Largest resident memory of any gate, in bytes. */
  get peakBytes(): number {
    return Math.max(...this.gates.map(gate => gate.process.peakBytes));
  }

  /** Starts all parts of the system, without waiting until the gates listen. */
  async start(): Promise<void> {
    mkdirSync(this.folder, {recursive: true});
    const storePort = await this.store.start();
    this.publishConfig();
    await this.targets.start(this.targetCount);
    for (let i = 0; i < this.gateCount; i++)
      this.gates.push(await this.startGate(i, storePort));
  }

  /** Ends every process and closes every listener. */
  async close(): Promise<void> {
    this.targets.markClosed();
    await Promise.all(this.gates.map(gate => gate.process.close()));
    for (const {storeLink, callerLink} of this.gates) {
      storeLink.stop();
      callerLink.stop();
    }
    await this.targets.stop();
    await this.store.stop();
  }

  /** Samples the resident memory of every gate. */
  async sampleMemory(): Promise<void> {
    await Promise.all(this.gates.map(gate => gate.process.sampleMemory()));
  }

  /** Starts a fault and returns a function that ends it. */
  beginFault(action: FaultAction): () => void {
    switch (action.kind) {
      case 'gate-kill':
        return this.applyInstantFault(() =>
          this.gates[action.gate].process.kill(),
        );
      case 'gate-drain':
        return this.applyInstantFault(() =>
          this.gates[action.gate].process.drain(),
        );
      case 'gate-drain-twice':
        return this.applyInstantFault(() =>
          this.gates[action.gate].process.drainAgainAtStart(
            action.afterStartMs,
          ),
        );
      case 'gate-pause':
        this.gates[action.gate].process.freeze();
        return () => this.gates[action.gate].process.resume();
      case 'gate-reload':
        return this.applyInstantFault(() =>
          this.gates[action.gate].process.reload(this.listHosts().reverse()),
        );
      case 'all-gates-kill':
        return this.applyInstantFault(() =>
          this.gates.forEach(gate => gate.process.kill()),
        );
      case 'busy':
        return startCpuLoad();
      case 'store':
        this.store.mode = action.mode;
        return () => (this.store.mode = 'up');
      case 'store-history':
        return this.applyInstantFault(() => this.store.dropHistory());
      case 'store-restore':
        return this.applyInstantFault(() =>
          this.store.restore({
            ageMs: action.ageMs,
            outageMs: RESTORE_OUTAGE_MS,
          }),
        );
      case 'store-link':
        return this.setLinkMode(this.gates[action.gate].storeLink, action.mode);
      case 'caller-link':
        return this.setLinkMode(
          this.gates[action.gate].callerLink,
          action.mode,
        );
      case 'target-link':
        return this.setLinkMode(
          this.targets.findLink(action.target),
          action.mode,
        );
      case 'link-reset':
        return this.applyInstantFault(() =>
          this.targets.findLink(action.target).dropConnections(),
        );
      case 'target-crash':
        return this.applyInstantFault(() => this.targets.kill(action.target));
      case 'target-leave':
        return this.applyInstantFault(() => this.targets.drain(action.target));
      case 'target-mode':
        return this.targets.setMode(action.target, action.mode);
      case 'target-announce':
        return this.targets.announceLeave(action.target);
      case 'target-rest':
        return this.targets.setRest(action.target, action.restMs);
      case 'zone-evacuation':
        return this.evacuations.begin(action.zones, action.companion);
      case 'config-change':
        return this.applyInstantFault(() => this.publishConfig());
      case 'key-revoke':
        return this.applyInstantFault(() => this.replaceKey());
    }
  }

  /** Applies a fault that has no duration. */
  private applyInstantFault(injectFault: () => void): () => void {
    injectFault();
    return () => undefined;
  }

  private setLinkMode(link: FaultyLink, mode: FaultyLink['mode']): () => void {
    link.mode = mode;
    return () => {
      link.mode = 'pass';
      // Connections that lost bytes must not be reused.
      link.dropConnections();
    };
  }

  private publishConfig(): void {
    const keys = [this.key];
    this.store.publishConfig(
      buildConfigDocument(
        this.version,
        keys,
        this.idleTimeoutMs,
        this.options.hasColdStarts ? COLD_START : undefined,
        this.options.hasLongStreams,
      ),
    );
    this.version += 2;
  }

  private replaceKey(): void {
    const revokedKey = this.key;
    this.key = `key-${this.version}`;
    this.publishConfig();
    this.published.push({
      kind: 'key-revoked',
      id: revokedKey,
      at: performance.now(),
    });
  }

  private listHosts(): string[] {
    return Array.from({length: this.gateCount}, (_, i) => buildLoopbackHost(i));
  }

  private async startGate(index: number, storePort: number): Promise<GateSlot> {
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
        coldBounds: this.options.hasColdStarts ? COLD_BOUNDS : undefined,
      },
      this.folder,
      exit => this.exits.push(exit),
    );
    process.start();
    const endpoint = {gate: index, port: await callerLink.start()};
    return {process, storeLink, callerLink, endpoint: endpoint};
  }
}
