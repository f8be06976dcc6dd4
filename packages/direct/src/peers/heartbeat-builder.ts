/** Builds the heartbeats of a gate from its state. */
import {toWirePlacement} from './messages.js';
import type {SuspectRequests} from '@nutmeggauge/core';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {RequestLimits} from '../limits/request-limits.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Heartbeat} from './messages.js';

/** What heartbeats are built from. */
export interface HeartbeatSources {
  /** Address of this gate, which also identifies it among the peers. */
  readonly host: string;
  /** Identifies one run of the process; differs after each restart. */
  readonly incarnation: string;
  readonly state: FleetState;
  readonly tracker: LoadTracker;
  readonly slowdowns: EngineSlowdowns;
  readonly suspects: SuspectRequests;
  readonly limits: RequestLimits;
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
  /** Hosts of the live gates that this gate knows. */
  readonly peers: readonly string[];
  readonly leaves: boolean;
}

/**
 * Builds a heartbeat.
 *
 * @param isFull - Whether the heartbeat includes complete placements and all
 *   known crashes.
 * @example
 * buildHeartbeat(sources, {owner, peers: table.listHosts(), leaves: false}, false);
 */
export function buildHeartbeat(
  sources: HeartbeatSources,
  {owner, peers, leaves}: HeartbeatEnvelope,
  isFull: boolean,
): Omit<Heartbeat, 'wantsReply'> {
  const {state, suspects, limits, slowdowns} = sources;
  const now = sources.readNow();
  const placements = sources.tracker.listOwnedBy(owner);
  const reports = limits.listAll();
  const crashes = isFull ? suspects.listAll() : suspects.listRecent();
  return {
    from: sources.host,
    incarnation: sources.incarnation,
    configVersion: state.config?.version ?? 0,
    ...state.position,
    factsAgeMs: Math.round(sources.readStoreAgeMs()),
    contactMs: Math.round(sources.readContactMs()),
    peers: [...peers],
    open: placements.map(({placement}) => parsePlacementNumber(placement.key)),
    begun: placements
      .filter(({hasFirstToken}) => hasFirstToken)
      .map(({placement}) => parsePlacementNumber(placement.key)),
    placements: isFull
      ? placements.map(({placement, hasFirstToken}) =>
          toWirePlacement(placement, hasFirstToken, now),
        )
      : [],
    slowdowns: [...slowdowns.listAssigned()],
    crashes: crashes.length > 0 ? [...crashes] : undefined,
    limits: reports.length > 0 ? [...reports] : undefined,
    refusedHash: suspects.hashRefused(),
    lagMs: Math.round(sources.readLagMs()),
    leaves,
  };
}

/** Parses the number of a placement within its gate from the placement key. */
function parsePlacementNumber(key: string): number {
  return Number(key.slice(key.indexOf('#') + 1));
}
