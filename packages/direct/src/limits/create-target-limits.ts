/** Creates the limits of a gate and feeds them with the changes of its targets. */
import {TargetLimits} from './target-limits.js';
import type {Counters} from '@nutmeggauge/core';
import type {FleetState} from '../fleet/fleet-state.js';
import type {FleetEvent} from '../fleet/fleet-types.js';
import type {DirectGateSettings} from '../gate-settings.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {PeerGroup} from '../peers/peer-group.js';
import type {Target} from '../types.js';

/** Parts of a gate that its limits build on. */
export interface LimitParts {
  readonly settings: DirectGateSettings;
  readonly state: FleetState;
  /** Returns the peers, which are created later. */
  readonly findPeers: () => PeerGroup;
  /** Called when an engine turns cold. */
  readonly onColdEngine: (engine: Target) => void;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

/**
 * Creates the limits of a gate.
 *
 * @example
 * const limits = createTargetLimits(parts);
 */
export function createTargetLimits(parts: LimitParts): TargetLimits {
  const {settings, state, findPeers, onColdEngine} = parts;
  const limits = new TargetLimits({
    ...parts,
    host: settings.peers.host,
    listGates: () => findPeers().listGates(),
    messenger: {
      askPermit: (host, question) => findPeers().askPermit(host, question),
    },
    announce: report => findPeers().announceLimit(report),
    cold: {
      bounds: settings.coldBounds,
      findService: name => state.findService(name),
      measureGrantShare: id => findPeers().measureGrantShare(id),
      onCold: id => {
        const target = state.findIncarnation(id);
        const isEngine = state.findEngine(id) !== undefined;
        if (target !== undefined && isEngine) onColdEngine(target);
      },
    },
  });
  if (settings.coldBounds !== undefined)
    state.onChange(event => observeEntry(limits, state, event));
  return limits;
}

function observeEntry(
  {cold}: TargetLimits,
  state: FleetState,
  {event, source, id}: FleetEvent,
): void {
  if (event !== 'target_added' && event !== 'target_changed') return;
  const target = state.findIncarnation(id);
  if (target === undefined) return;
  cold.observeEntry(target, source === 'peer', state.hasTargets);
}
