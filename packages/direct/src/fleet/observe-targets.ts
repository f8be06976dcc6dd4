/** Reactions of a gate to targets that come and go. */
import type {FleetState} from './fleet-state.js';
import type {Target} from '../types.js';

/** Reactions to changes of the known targets. */
export interface TargetReactions {
  /** Drop what they know of a target that was removed. */
  readonly holders: ReadonlyArray<{drop(id: string): void}>;
  readonly onAdd: (added: Target) => void;
}

/**
 * Calls the reactions to each target that is added or removed.
 *
 * @example
 * observeTargets(state, {holders: [health], onAdd: target => log(target)});
 */
export function observeTargets(
  state: FleetState,
  {holders, onAdd}: TargetReactions,
): void {
  state.onChange(({event, id}) => {
    if (event === 'target_removed')
      for (const holder of holders) holder.drop(id);
    const added =
      event === 'target_added' ? state.findIncarnation(id) : undefined;
    if (added !== undefined) onAdd(added);
  });
}
