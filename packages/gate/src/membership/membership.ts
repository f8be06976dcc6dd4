/**
 * The gate's view of which targets serve which pool: built from the
 * configuration record, narrowed by the host list (leaving hosts) and by the
 * agents' own drain flags. Each target has one AgentConnection task.
 */
import {request} from 'undici';
import {z} from 'zod';
import {createLogger, findHome} from '@nutmeggauge/core';
import {AgentConnection} from './agent-connection.js';
import {pickSubset} from './subset.js';
import type {ConfigRecord, Counters, Pool} from '@nutmeggauge/core';
import type {TargetDirectory} from './target-link.js';

/** Options of the membership view. */
export interface MembershipOptions {
  /** Name of this gate; with `subsetSize` it decides which targets it links to. */
  readonly gateId: string;
  readonly counters: Counters;
  /** Age past which a silent agent is not routed to, in ms. */
  readonly heartbeatStaleMs: number;
  /** The gate's record. */
  readonly readRecord: () => ConfigRecord | undefined;
  /**
   * Targets of each pool to keep links to; 0 for all.
   * @default 0
   */
  readonly subsetSize?: number;
  /** Host list URL; absent means the host list is not read. */
  readonly hostListUrl?: string;
  /**
   * Period between host list reads, in ms.
   * @default 1000
   */
  readonly hostListPollMs?: number;
}

/** Longest wait for a link to a home outside the subset, in ms. */
const HOME_LINK_MS = 1000;

/** Longest wait for the host list, in ms. */
const HOST_LIST_TIMEOUT_MS = 2000;

/** An error answered as JSON is not a list. */
const HostListSchema = z.object({
  hosts: z.array(z.object({id: z.string(), state: z.string()})),
});

/**
 * Connections of one gate, by pool.
 *
 * @example
 * const membership = createMembership({gateId: 'gate-1', counters, heartbeatStaleMs: 2500, readRecord});
 * membership.apply(record);
 * membership.listUsable('chat');
 */
export class Membership implements TargetDirectory {
  private byPool = new Map<string, Map<string, AgentConnection>>();
  private readonly log = createLogger('membership');
  private hostTimer: NodeJS.Timeout | undefined;
  private leaving: ReadonlySet<string> = new Set();

  constructor(private readonly options: MembershipOptions) {}

  /** Brings connections in line with a newly accepted record. */
  apply(record: ConfigRecord): void {
    const next = new Map<string, Map<string, AgentConnection>>();
    const kept = new Set<AgentConnection>();
    for (const pool of record.pools) {
      const connections = this.connectPool(pool);
      next.set(pool.id, connections);
      for (const connection of connections.values()) kept.add(connection);
    }
    const former = this.listAll();
    this.byPool = next;
    for (const connection of former) {
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
    const connections = this.byPool.get(pool);
    if (connections === undefined) return undefined;
    const id = findHome([...connections.keys()], key);
    const home = id === undefined ? undefined : connections.get(id);
    if (home === undefined) return undefined;
    if (!home.isStarted) {
      home.start();
      await home.waitUsable(HOME_LINK_MS);
    }
    return home.isUsable ? home : undefined;
  }

  /** Connections this gate keeps open, usable or not. */
  listAll(): AgentConnection[] {
    return [...this.byPool.values()]
      .flatMap(connections => [...connections.values()])
      .filter(connection => connection.isStarted);
  }

  /** Starts reading the host list, if one is configured. */
  start(): void {
    const url = this.options.hostListUrl;
    if (url === undefined) return;
    this.hostTimer = setInterval(
      () => void this.readHostList(url),
      this.options.hostListPollMs ?? 1000,
    );
  }

  /** Stops every task. */
  stop(): void {
    clearInterval(this.hostTimer);
    for (const connection of this.listAll()) connection.stop();
  }

  private listPool(pool: string): AgentConnection[] {
    return [...(this.byPool.get(pool)?.values() ?? [])];
  }

  private connectPool(pool: Pool): Map<string, AgentConnection> {
    const ids = pool.targets.map(target => target.id);
    const {gateId, subsetSize = 0, ...shared} = this.options;
    const subset = pickSubset(gateId, ids, subsetSize);
    const connections = new Map<string, AgentConnection>();
    for (const target of pool.targets) {
      const held = this.byPool.get(pool.id)?.get(target.id);
      const connection =
        held !== undefined && held.agent === target.agent
          ? held
          : new AgentConnection({
              target,
              pool: pool.id,
              counters: shared.counters,
              heartbeatStaleMs: shared.heartbeatStaleMs,
              readRecord: shared.readRecord,
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
      const {hosts} = HostListSchema.parse(await response.body.json());
      if (response.statusCode !== 200)
        throw new Error(`GET ${url}/v1/hosts: ${response.statusCode}`);
      this.applyLeaving(
        new Set(hosts.filter(h => h.state === 'leaving').map(h => h.id)),
      );
    } catch {
      // The host list lags and fails at times; the agents' own drain flags
      // still stop new work, so a missed read only delays the narrowing.
      this.options.counters.add('hostlist.read_failed');
    }
  }

  private applyLeaving(leaving: ReadonlySet<string>): void {
    this.leaving = leaving;
    for (const connections of this.byPool.values()) {
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
 * Creates an empty membership view.
 *
 * @example
 * const membership = createMembership({gateId: 'gate-1', counters, heartbeatStaleMs: 2500, readRecord, hostListUrl: 'http://127.0.0.1:7300'});
 */
export function createMembership(options: MembershipOptions): Membership {
  return new Membership(options);
}
