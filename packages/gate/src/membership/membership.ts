/**
 * The gate's view of which targets serve which pool: built from the
 * configuration record, narrowed by the host list (leaving hosts) and by the
 * agents' own drain flags. Each target has one AgentConnection task.
 */
import {request} from 'undici';
import {createLogger} from '@nutmeggauge/core';
import {AgentConnection} from './agent-connection.js';
import type {ConfigRecord, Counters} from '@nutmeggauge/core';

/** Options of the membership view. */
export interface MembershipOptions {
  readonly counters: Counters;
  /** Host list URL; absent means the host list is not read. */
  readonly hostListUrl?: string;
  /**
   * Period between host list reads, in ms.
   * @default 1000
   */
  readonly hostListPollMs?: number;
}

/**
 * Connections of one gate, by pool.
 *
 * @example
 * const membership = createMembership({counters});
 * membership.apply(record);
 * membership.listUsable('chat');
 */
export class Membership {
  private readonly byKey = new Map<string, AgentConnection>();
  private readonly log = createLogger('membership');
  private hostTimer: NodeJS.Timeout | undefined;
  private leaving = new Set<string>();

  constructor(private readonly options: MembershipOptions) {}

  /** Brings connections in line with a newly accepted record. */
  apply(record: ConfigRecord): void {
    const wanted = new Set<string>();
    for (const pool of record.pools) {
      for (const target of pool.targets) {
        const key = `${pool.id}/${target.id}@${target.agent}`;
        wanted.add(key);
        if (this.byKey.has(key)) continue;
        const connection = new AgentConnection(target, pool.id);
        connection.leavingByHostList = this.leaving.has(target.id);
        this.byKey.set(key, connection);
        connection.start();
      }
    }
    for (const [key, connection] of this.byKey) {
      if (wanted.has(key)) continue;
      connection.stop();
      this.byKey.delete(key);
    }
  }

  /** Connections of `pool` that may take new work. */
  listUsable(pool: string): AgentConnection[] {
    return [...this.byKey.values()].filter(c => c.pool === pool && c.isUsable);
  }

  /** Every connection, usable or not. */
  listAll(): AgentConnection[] {
    return [...this.byKey.values()];
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
    for (const connection of this.byKey.values()) connection.stop();
  }

  private async readHostList(url: string): Promise<void> {
    this.options.counters.add('hostlist.reads');
    try {
      const response = await request(`${url}/v1/hosts`, {
        headersTimeout: 2000,
        bodyTimeout: 2000,
      });
      const body = (await response.body.json()) as {
        hosts?: Array<{id: string; state: string}>;
      };
      const leaving = new Set(
        (body.hosts ?? []).filter(h => h.state === 'leaving').map(h => h.id),
      );
      for (const connection of this.byKey.values()) {
        const next = leaving.has(connection.id);
        if (next !== connection.leavingByHostList) {
          this.log.info('target_leaving_changed', {
            target: connection.id,
            leaving: next,
          });
        }
        connection.leavingByHostList = next;
      }
      this.leaving = leaving;
    } catch {
      // The host list lags and fails at times; the agents' own drain flags
      // still stop new work, so a missed read only delays the narrowing.
      this.options.counters.add('hostlist.read_failed');
    }
  }
}

/**
 * Creates an empty membership view.
 *
 * @example
 * const membership = createMembership({counters, hostListUrl: 'http://127.0.0.1:7300'});
 */
export function createMembership(options: MembershipOptions): Membership {
  return new Membership(options);
}
