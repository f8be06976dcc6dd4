/**
 * Urgency of requests: the priority of the caller's account, else that of the
 * route, else the least urgent one configured. It matters only for services
 * whose requests can differ in it.
 */
import type {FleetConfig, Route} from '../types.js';

/** Least urgent priority that engines know; 0 is the most urgent one. */
const LEAST_URGENT = 9;

/**
 * Largest prompt of each size class but the last, in tokens. Among equally urgent
 * prompts, engines admit those of a smaller class first.
 */
const SIZE_CLASS_TOKENS = [16_000, 80_000];

/** Engine priority by size class where all requests are equally urgent. */
const PRIORITY_BY_SIZE = [2, 4, 5];

/** What the urgency of a request depends on. */
export interface UrgencySubject {
  readonly service: string;
  readonly route: Route;
  /** Name of the client account; absent on public routes. */
  readonly account: string | undefined;
}

/** Priorities of one configuration. */
class ConfiguredPriorities {
  private readonly byAccount: ReadonlyMap<string, number | undefined>;
  /** Priorities that occur in requests of a service, the most urgent first. */
  private readonly byService = new Map<string, readonly number[]>();

  constructor(readonly config: FleetConfig) {
    this.byAccount = new Map(
      config.accounts.map(({name, priority}) => [name, priority]),
    );
  }

  /** Finds the priority of a request. */
  find({service, route, account}: UrgencySubject): number {
    const own = account === undefined ? undefined : this.byAccount.get(account);
    return own ?? route.priority ?? this.findLeastUrgent(service);
  }

  /** Lists the priorities of a service, the most urgent first. */
  list(service: string): readonly number[] {
    let priorities = this.byService.get(service);
    if (priorities === undefined) {
      priorities = this.listDistinct(service);
      this.byService.set(service, priorities);
    }
    return priorities;
  }

  private listDistinct(service: string): readonly number[] {
    const found = new Set<number>();
    const leastUrgent = this.findLeastUrgent(service);
    const ofAccounts = new Set(this.byAccount.values());
    for (const route of this.listStreamRoutes(service)) {
      const callers = new Set(ofAccounts);
      if (route.isPublic || callers.size === 0) callers.add(undefined);
      for (const priority of callers)
        found.add(priority ?? route.priority ?? leastUrgent);
    }
    return [...found].sort((a, b) => a - b);
  }

  private findLeastUrgent(service: string): number {
    const routes = this.listStreamRoutes(service);
    const configured = [
      ...routes.map(({priority}) => priority),
      ...new Set(this.byAccount.values()),
    ];
    return configured.reduce<number>(
      (least, priority) => Math.max(least, priority ?? least),
      -Infinity,
    );
  }

  private listStreamRoutes(service: string): readonly Route[] {
    return this.config.routes.filter(
      ({kind, splits}) =>
        kind === 'stream' &&
        splits.some(split => split.service === service && split.weight > 0),
    );
  }
}

/**
 * Urgencies of the requests of one gate, by the configuration in force.
 *
 * @example
 * const urgencies = new Urgencies(() => state.config);
 * urgencies.rank({service: 'chat', route, account: 'acme'}); // 0, the most urgent
 */
export class Urgencies {
  private priorities: ConfiguredPriorities | undefined;

  constructor(private readonly readConfig: () => FleetConfig | undefined) {}

  /**
   * Ranks a request among the urgencies of its service; 0 is the most urgent. All
   * requests of a service that are equally urgent have rank 0.
   */
  rank(subject: UrgencySubject): number {
    const priorities = this.readPriorities();
    if (priorities === undefined) return 0;
    const listed = priorities.list(subject.service);
    if (listed.length < 2) return 0;
    const own = priorities.find(subject);
    // A request may have been routed by an earlier configuration.
    const moreUrgent = listed.filter(priority => priority < own).length;
    return Math.min(moreUrgent, listed.length - 1);
  }

  /**
   * Chooses the priority that an engine is told: by urgency first, then by size.
   * Where all requests of the service are equally urgent, it depends on the size
   * alone. With two urgencies, no priority is worse than 5, which engines assume
   * for requests without one.
   */
  choosePriority(subject: UrgencySubject, promptTokens: number): number {
    const sizes = PRIORITY_BY_SIZE.length;
    const found = SIZE_CLASS_TOKENS.findIndex(most => promptTokens <= most);
    const size = found === -1 ? sizes - 1 : found;
    const count = this.readPriorities()?.list(subject.service).length ?? 0;
    if (count < 2) return PRIORITY_BY_SIZE[size];
    const rank = this.rank(subject);
    const levels = Math.min(sizes, Math.floor((LEAST_URGENT + 1) / count));
    // More than ten urgencies share the levels, the nearest ones together.
    if (levels < 1) return Math.floor((rank * (LEAST_URGENT + 1)) / count);
    return rank * levels + Math.min(size, levels - 1);
  }

  private readPriorities(): ConfiguredPriorities | undefined {
    const config = this.readConfig();
    if (config === undefined) return undefined;
    if (this.priorities?.config !== config)
      this.priorities = new ConfiguredPriorities(config);
    return this.priorities;
  }
}
