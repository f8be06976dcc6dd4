/**
 * Tracks the targets of each pool for one gate. The configuration record lists
 * the targets; hosts that the host list reports as leaving and agents that
 * report a drain are not usable. Each target has one AgentConnection.
 */
import {request} from 'undici';
import {z} from 'zod';
import {
  MAX_BODY_BYTES,
  createLogger,
  findHome,
  readBoundedText,
} from '@nutmeggauge/core';
import {AgentConnection} from './agent-connection.js';
import {pickSubset} from './subset.js';
import type {
  ConfigRecord,
  Counters,
  CrashReport,
  Pool,
} from '@nutmeggauge/core';
import type {TargetDirectory} from './target-link.js';

/** Options of a Membership. */
export interface MembershipOptions {
  /**
   * Id of this gate; with `subsetSize`, determines the targets it connects to.
   */
  readonly gateId: string;
  readonly counters: Counters;
  /** Age of the last load report above which a target is unusable, in ms. */
  readonly heartbeatStaleMs: number;
  /** Reads the gate's configuration record. */
  readonly readRecord: () => ConfigRecord | undefined;
  /** Lists the crashes that the gate knows. */
  readonly listCrashes: () => readonly CrashReport[];
  /** Called with the crashes that an agent reports. */
  readonly onCrashes: (reports: readonly CrashReport[]) => void;
  /**
   * Number of targets of each pool to connect to; 0 for all.
   * @default 0
   */
  readonly subsetSize?: number;
  /** Base URL of the host list service; without it, no host list is read. */
  readonly hostListUrl?: string;
  /**
   * Interval between host list reads, in ms.
   * @default 1000
   */
  readonly hostListPollMs?: number;
}

/** Timeout for connecting to a home target outside the subset, in ms. */
const HOME_CONNECT_TIMEOUT_MS = 1000;

/** Timeout for reading the host list, in ms. */
const HOST_LIST_TIMEOUT_MS = 2000;

/** Body of a host list answer; rejects a JSON error body. */
const HostListSchema = z.object({
  hosts: z.array(z.object({id: z.string(), state: z.string()})),
});

/**
 * Keeps the agent connections of one gate, by pool and target.
 *
 * @example
 * const membership = createMembership({gateId: 'gate-1', counters, heartbeatStaleMs: 2500, readRecord, listCrashes, onCrashes});
 * membership.apply(record);
 * membership.listUsable('chat');
 */
export class Membership implements TargetDirectory {
  private connectionsByPool = new Map<string, Map<string, AgentConnection>>();
  private readonly log = createLogger('membership');
  private hostListTimer: NodeJS.Timeout | undefined;
  private leaving: ReadonlySet<string> = new Set();

  constructor(private readonly options: MembershipOptions) {}

  /** Opens and stops connections to match a newly accepted record. */
  apply(record: ConfigRecord): void {
    const next = new Map<string, Map<string, AgentConnection>>();
    const kept = new Set<AgentConnection>();
    for (const pool of record.pools) {
      const connections = this.connectPool(pool);
      next.set(pool.id, connections);
      for (const connection of connections.values()) kept.add(connection);
    }
    const previous = this.listStarted();
    this.connectionsByPool = next;
    for (const connection of previous) {
      if (!kept.has(connection)) connection.stop();
    }
  }

  listUsable(pool: string): AgentConnection[] {
    return this.listPool(pool).filter(c => c.isUsable);
  }

  async findHome(
    pool: string,
    key: string,
  ): Promise<AgentConnection | undefined> {
    const connections = this.connectionsByPool.get(pool);
    if (connections === undefined) return undefined;
    const id = findHome([...connections.keys()], key);
    const home = id === undefined ? undefined : connections.get(id);
    if (home === undefined) return undefined;
    if (!home.isStarted) {
      home.start();
      await home.waitUsable(HOME_CONNECT_TIMEOUT_MS);
    }
    return home.isUsable ? home : undefined;
  }

  /** Lists the started connections of this gate, usable or not. */
  listStarted(): AgentConnection[] {
    return [...this.connectionsByPool.values()]
      .flatMap(connections => [...connections.values()])
      .filter(connection => connection.isStarted);
  }

  /** Tells all connected agents of a crash under a request. */
  sendCrash(report: CrashReport): void {
    for (const connection of this.listStarted()) connection.sendCrash(report);
  }

  /** Starts reading the host list, if one is configured. */
  start(): void {
    const url = this.options.hostListUrl;
    if (url === undefined) return;
    this.hostListTimer = setInterval(
      () => void this.readHostList(url),
      this.options.hostListPollMs ?? 1000,
    );
  }

  /** Stops reading the host list, and stops all connections. */
  stop(): void {
    clearInterval(this.hostListTimer);
    for (const connection of this.listStarted()) connection.stop();
  }

  private listPool(pool: string): AgentConnection[] {
    return [...(this.connectionsByPool.get(pool)?.values() ?? [])];
  }

  private connectPool(pool: Pool): Map<string, AgentConnection> {
    const ids = pool.targets.map(target => target.id);
    const {gateId, subsetSize = 0, ...shared} = this.options;
    const subset = pickSubset(gateId, ids, subsetSize);
    const connections = new Map<string, AgentConnection>();
    for (const target of pool.targets) {
      const held = this.connectionsByPool.get(pool.id)?.get(target.id);
      const connection =
        held !== undefined && held.agent === target.agent
          ? held
          : new AgentConnection({
              target,
              pool: pool.id,
              counters: shared.counters,
              heartbeatStaleMs: shared.heartbeatStaleMs,
              readRecord: shared.readRecord,
              listCrashes: shared.listCrashes,
              onCrashes: shared.onCrashes,
            });
      connection.leavingByHostList = this.leaving.has(target.id);
      connections.set(target.id, connection);
      if (subset.has(target.id)) connection.start();
    }
    return connections;
  }

  private async readHostList(url: string): Promise<void> {
    this.options.counters.add('hostlist.reads');
    try {
      const response = await request(`${url}/v1/hosts`, {
        headersTimeout: HOST_LIST_TIMEOUT_MS,
        bodyTimeout: HOST_LIST_TIMEOUT_MS,
      });
      const text = await readBoundedText(response.body, MAX_BODY_BYTES);
      const {hosts} = HostListSchema.parse(JSON.parse(text));
      if (response.statusCode !== 200)
        throw new Error(`GET ${url}/v1/hosts: ${response.statusCode}`);
      this.applyLeaving(
        new Set(hosts.filter(h => h.state === 'leaving').map(h => h.id)),
      );
    } catch {
      // The host list can be stale or unavailable. A missed read only delays a
      // leaving state; the drain flag in an agent's load report still stops new
      // requests.
      this.options.counters.add('hostlist.read_failed');
    }
  }

  private applyLeaving(leaving: ReadonlySet<string>): void {
    this.leaving = leaving;
    for (const connections of this.connectionsByPool.values()) {
      for (const connection of connections.values()) {
        const next = leaving.has(connection.id);
        if (next === connection.leavingByHostList) continue;
        connection.leavingByHostList = next;
        this.log.info('target_leaving_changed', {
          target: connection.id,
          leaving: next,
        });
      }
    }
  }
}

/**
 * Creates a membership without targets.
 *
 * @example
 * const membership = createMembership({gateId: 'gate-1', counters, heartbeatStaleMs: 2500, readRecord, listCrashes, onCrashes, hostListUrl: 'http://127.0.0.1:7300'});
 */
export function createMembership(options: MembershipOptions): Membership {
  return new Membership(options);
}
