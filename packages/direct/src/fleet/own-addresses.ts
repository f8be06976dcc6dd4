/** Keeps targets out of use whose entries name an address of this gate. */
import type {DirectGateSettings} from '../gate-settings.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {FleetState} from './fleet-state.js';

/**
 * Tells the fleet state where this gate listens, and logs each entry of a target
 * that names such an address: requests to it would come back for ever.
 *
 * @example
 * observeOwnAddresses(state, settings, log);
 */
export function observeOwnAddresses(
  state: FleetState,
  {ingress, ready, peers, metrics}: DirectGateSettings,
  log: DecisionLog,
): void {
  const own = [ingress, ready, peers];
  state.setOwnAddresses(metrics === undefined ? own : [...own, metrics]);
  state.onChange(({event, id}) => {
    if (event !== 'target_added') return;
    const target = state.findIncarnation(id);
    if (target === undefined || !state.isOwnAddress(target)) return;
    const {host, port} = target;
    log.warn('target_at_own_address', {target: id, host, port});
  });
}
