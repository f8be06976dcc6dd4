/** Which gate polls each engine: its home, one among all gates. */
import {HomeTable} from '@nutmeggauge/core';
import type {TargetAccess} from '../limits/target-access.js';
import type {Target} from '../types.js';

/** Dependencies of {@link EngineHomes}. */
export interface EngineHomesOptions {
  /** Host of this gate. */
  readonly host: string;
  readonly listGates: () => readonly string[];
  readonly access: TargetAccess;
}

/**
 * Assigns engines to gates.
 *
 * @example
 * homes.listAssigned(state.listEngines());
 */
export class EngineHomes {
  private readonly homes = new HomeTable();

  constructor(private readonly options: EngineHomesOptions) {}

  /** Lists the engines that this gate, and no peer, polls. */
  listAssigned(engines: readonly Target[]): readonly Target[] {
    const {host, listGates, access} = this.options;
    this.homes.setIds(listGates());
    return engines.filter(
      ({id}) => !access.isSpared(id) && this.homes.findHome(id) === host,
    );
  }

  /** Forgets an engine that was removed. */
  drop(id: string): void {
    this.homes.remove(id);
  }
}
