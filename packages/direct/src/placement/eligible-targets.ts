/** Lists the targets that a request may be sent to. */
import type {FleetState} from '../fleet/fleet-state.js';
import type {TargetHealth} from '../health/target-health.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {Target} from '../types.js';

/** Dependencies of {@link EligibleTargets}. */
export interface EligibleTargetsOptions {
  readonly state: FleetState;
  readonly health: TargetHealth;
  readonly access: TargetAccess;
  readonly readNow: () => number;
}

/**
 * The targets of one gate that take a request at present.
 *
 * @example
 * const targets = eligible.list('chat', new Set(['i-1']));
 */
export class EligibleTargets {
  constructor(private readonly options: EligibleTargetsOptions) {}

  /**
   * Lists the targets of a service that accept new requests, that are not in
   * `tried`, whose limits are not reached, and that are not suspended for
   * failures. If all are suspended, it lists them, as trying one is better than
   * failing the request.
   *
   * @param allowedZones - Zones in which the request may run; undefined for all.
   */
  list(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): readonly Target[] {
    const {health, access, readNow} = this.options;
    const now = readNow();
    const left: Target[] = [];
    const sound: Target[] = [];
    // One pass: a choice asks this of each of up to hundreds of targets.
    for (const target of this.listUntried(service, tried, allowedZones)) {
      if (access.isBlocked(target.id)) continue;
      left.push(target);
      if (!health.isSuspended(target.id, now)) sound.push(target);
    }
    return sound.length > 0 ? sound : left;
  }

  /**
   * Returns the time until a target that is not in `tried` may take a request, in
   * ms, if the limits of all are reached or they rest; else 0.
   */
  readWaitMs(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): number {
    return this.options.access.readShortestWaitMs(
      this.listUntried(service, tried, allowedZones),
    );
  }

  private listUntried(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones: ReadonlySet<string> | undefined,
  ): readonly Target[] {
    const usable = this.options.state.listUsable(service);
    if (tried.size === 0 && allowedZones === undefined) return usable;
    return usable.filter(
      ({id, zone}) => !tried.has(id) && (allowedZones?.has(zone) ?? true),
    );
  }
}
