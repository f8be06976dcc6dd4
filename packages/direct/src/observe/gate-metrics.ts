/** Collects the metrics of one gate. */
import type {SuspectRequests, TurnMonitor} from '@nutmeggauge/core';
import type {FleetState} from '../fleet/fleet-state.js';
import type {ForwardContext} from '../forward/context.js';
import type {Ingress} from '../ingress/ingress.js';
import type {TargetLimits} from '../limits/target-limits.js';
import type {PeerGroup} from '../peers/peer-group.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {MetricValues} from './metrics-text.js';

/** Number of accounts of which the usage is shown. */
const LARGEST_ACCOUNTS = 3;

/** Parts of a gate that metrics are read from. */
export interface MetricSources {
  readonly context: ForwardContext;
  readonly state: FleetState;
  readonly tracker: LoadTracker;
  readonly ingress: Ingress;
  readonly peers: PeerGroup;
  readonly limits: TargetLimits;
  readonly suspects: SuspectRequests;
  readonly turns: TurnMonitor;
}

/**
 * Reads the present values of all metrics.
 *
 * @example
 * formatMetrics(readGateMetrics(sources));
 */
export function readGateMetrics(sources: MetricSources): MetricValues {
  const {context, state, tracker, ingress, peers, limits, suspects, turns} =
    sources;
  const usage = context.usage.listLargest(LARGEST_ACCOUNTS);
  return {
    counters: {...context.counters.read(), ...turns.readTotals()},
    latencies: {
      ttft: context.ttftMs.summarize(),
      answer: context.answerMs.summarize(),
      turn: turns.summarizeLengths(),
    },
    gauges: {
      requests_in_flight: ingress.inFlight,
      calls_in_flight: context.calls.countInFlight(),
      streams_in_flight: tracker.listOwnedBy(peers.owner).length,
      targets_known: state.targetCount,
      config_version: state.config?.version ?? 0,
      facts_age_ms: Math.round(peers.readFactsAgeMs()),
      gates_known: peers.countGates(),
      limited_targets: limits.requests.size,
      cold_targets: limits.cold.size,
      resting_targets: limits.rests.size,
      leaving_targets: state.listLeaving().length,
      evacuated_zones: state.evacuatedCount,
      ...Object.fromEntries(
        usage.map(([, ms], i) => [`account_usage_${i + 1}_ms`, Math.round(ms)]),
      ),
      answer_bytes_held: context.heldBytes.claimedBytes,
      caller_bytes_held: context.callerMemory.heldBytes,
      caller_bytes_limit: context.callerMemory.limitBytes,
      prompts_waiting: context.prompts.waitingCount,
      suspect_contents: suspects.size,
      refused_contents: suspects.countRefused(),
    },
  };
}
