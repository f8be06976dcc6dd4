/** Public API of the direct gate. */
export * from './types.js';
export * from './ports.js';
export * from './errors.js';
export type {EvacuationEntry} from './fleet/evacuated-zones.js';
export * from './fleet/fact-position.js';
export * from './gate.js';
export type * from './gate-settings.js';
export {createFleetState} from './fleet/fleet-state.js';
export type {FleetState} from './fleet/fleet-state.js';
export {createDecisionLog} from './observe/decision-log.js';
export type {DecisionLog} from './observe/decision-log.js';
export {stripHopByHop} from './forward/caller-response.js';
