/** Finds out whether a fault disturbed a gate. */
import type {InjectedFault, SoakHistory} from './history.js';

function isGateFault({action}: InjectedFault, gate: number): boolean {
  if (action.kind === 'all-gates-kill') return true;
  return 'gate' in action && action.gate === gate;
}

/**
 * Returns whether no fault disturbed a gate within a span of time.
 *
 * @example
 * isGateCalm(history, record.gate, run.at - 3000, run.at);
 */
export function isGateCalm(
  {faults}: SoakHistory,
  gate: number,
  since: number,
  until: number,
): boolean {
  return !faults.some(
    fault =>
      isGateFault(fault, gate) &&
      fault.beganAt <= until &&
      fault.endedAt >= since,
  );
}
