/** Builds the heartbeats of a gate from its state. */
import {toWirePlacement} from './messages.js';
import type {SuspectRequests} from '@nutmeggauge/core';
import type {AccountUsage, UsageReport} from '../accounts/account-usage.js';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {RequestLimits} from '../limits/request-limits.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Placement} from '../placement/placement.js';
import type {SentHeartbeat} from './messages.js';

/** What heartbeats are built from. */
export interface HeartbeatSources {
  /** Address of this gate, which also identifies it among the peers. */
  readonly host: string;
  /** Availability zone of this gate. */
  readonly zone: string;
  /** Identifies one run of the process; differs after each restart. */
  readonly incarnation: string;
  readonly state: FleetState;
  readonly tracker: LoadTracker;
  readonly slowdowns: EngineSlowdowns;
  readonly suspects: SuspectRequests;
  readonly limits: RequestLimits;
  /**
   * Usage of the accounts.
   *
   * @default none is told or heard
   */
  readonly usage?: AccountUsage;
  /** Returns the largest recent delay of the event loop, in ms. */
  readonly readLagMs: () => number;
  readonly readNow: () => number;
  /** Returns the age of the last answer from the store, in ms. */
  readonly readStoreAgeMs: () => number;
  /**
   * Returns the time for which the store has answered this gate without an
   * outage, in ms; 0 during an outage.
   */
  readonly readContactMs: () => number;
}

/** Part of a heartbeat that depends on the state of the peer group. */
export interface HeartbeatEnvelope {
  /** Prefix of this gate's placement keys. */
  readonly owner: string;
  /** Hash of the hosts of the live gates that this gate knows. */
  readonly members: number;
  /** Number of gates that this gate knows, heard or not. */
  readonly known: number;
  readonly leaves: boolean;
}

/** What a heartbeat holds beyond the state that each one tells. */
export interface HeartbeatContents {
  /** Whether it includes complete placements and all known crashes. */
  readonly isFull: boolean;
  /** Hosts of live gates that it names. */
  readonly peers: readonly string[];
  /** Whether it asks for a heartbeat in return. */
  readonly wantsReply: boolean;
  /** Whether it asks for the names of live gates too. */
  readonly wantsNames: boolean;
}

/**
 * Builds a heartbeat. Fields that are empty or false are left out.
 *
 * @example
 * buildHeartbeat(sources, envelope, contents);
 */
export function buildHeartbeat(
  sources: HeartbeatSources,
  {owner, members, known, leaves}: HeartbeatEnvelope,
  {isFull, peers, wantsReply, wantsNames}: HeartbeatContents,
): SentHeartbeat {
  const {state, suspects, limits, slowdowns} = sources;
  const now = sources.readNow();
  const placements = sources.tracker.listOwnedBy(owner);
  const begun = placements.filter(({hasFirstToken}) => hasFirstToken);
  const crashes = isFull ? suspects.listAll() : suspects.listRecent();
  return {
    from: sources.host,
    zone: sources.zone,
    incarnation: sources.incarnation,
    configVersion: state.config?.version ?? 0,
    ...state.position,
    factsAgeMs: Math.round(sources.readStoreAgeMs()),
    contactMs: Math.round(sources.readContactMs()),
    members,
    known,
    peers: toOptional(peers),
    open: toOptional(listNumbers(placements)),
    begun: toOptional(listNumbers(begun)),
    placements: isFull
      ? toOptional(
          placements.map(({placement, hasFirstToken}) =>
            toWirePlacement(placement, hasFirstToken, now),
          ),
        )
      : undefined,
    slowdowns: toOptional(slowdowns.listAssigned()),
    crashes: toOptional(crashes),
    limits: toOptional(limits.listAll()),
    leaving: toOptional(state.listLeaving()),
    usage: toSentUsage(sources.usage?.buildReport()),
    refusedHash: suspects.hashRefused(),
    lagMs: Math.round(sources.readLagMs()),
    wantsReply: wantsReply || undefined,
    wantsNames: wantsNames || undefined,
    leaves: leaves || undefined,
  };
}

function toSentUsage(report: UsageReport | undefined): SentHeartbeat['usage'] {
  if (report === undefined) return undefined;
  return {
    isShort: report.isShort || undefined,
    sums: report.sums.map(([name, ms]) => [name, ms]),
  };
}

function listNumbers(
  placements: ReadonlyArray<{readonly placement: Placement}>,
): readonly number[] {
  return placements.map(({placement}) => parsePlacementNumber(placement.key));
}

function toOptional<T>(items: readonly T[]): T[] | undefined {
  return items.length > 0 ? [...items] : undefined;
}

/**
 * Parses the number of a placement within its gate from the placement key.
 *
 * @example
 * parsePlacementNumber('10.1.0.4/17.5#7'); // 7
 */
export function parsePlacementNumber(key: string): number {
  return Number(key.slice(key.indexOf('#') + 1));
}
