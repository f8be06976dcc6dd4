/** Lists and describes the engines among which a prompt's engines are chosen. */
import {isColdSlotFree} from './slow-start.js';
import type {EngineCostModel, Target} from '../types.js';
import type {Candidate} from './price-prefill.js';
import type {PromptPlacerOptions} from './prompt-placer-options.js';

/** Dependencies of {@link CandidateEngines}. */
export type CandidateEnginesOptions = Pick<
  PromptPlacerOptions,
  | 'zone'
  | 'eligible'
  | 'slowdowns'
  | 'access'
  | 'tracker'
  | 'measureHeardShare'
  | 'readNow'
>;

/**
 * Engines of one gate that may take prompts.
 *
 * @example
 * const engines = new CandidateEngines(options);
 * engines.listTargets('chat', new Set(), undefined).map(target => engines.describe(target, now));
 */
export class CandidateEngines {
  /** Latest candidate for each engine; kept while nothing about it changes. */
  private readonly candidates = new Map<string, Candidate>();

  constructor(private readonly options: CandidateEnginesOptions) {}

  /** Lists the engines that may take a prompt, without those at risk of a crash. */
  listTargets(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones: ReadonlySet<string> | undefined,
  ): readonly Target[] {
    const {eligible, tracker, readNow} = this.options;
    const now = readNow();
    const reachable = eligible.list(service, tried, allowedZones);
    const safe = reachable.filter(
      ({id}) => !tracker.trials.isEngineAtRisk(id, now),
    );
    return safe.length > 0 ? safe : reachable;
  }

  /**
   * Lists the engines without the cold ones that hold as many streams as they may
   * at present. If no other one has a free slot, it lists them too: their permits
   * bound what they get.
   */
  listTakers(
    targets: readonly Target[],
    {slots}: EngineCostModel,
  ): readonly Target[] {
    const {access, tracker, measureHeardShare} = this.options;
    if (!targets.some(({id}) => access.isCold(id))) return targets;
    const heardShare = measureHeardShare();
    const takers = targets.filter(({id}) => {
      if (!access.isCold(id)) return true;
      const active = tracker.countActive(id);
      const progress = access.readColdProgress(id);
      return isColdSlotFree({slots, progress, active, heardShare});
    });
    const isAnyFree = takers.some(({id}) => tracker.countActive(id) < slots);
    return isAnyFree ? takers : targets;
  }

  /** Lists the engines with the fewest streams, which a crash would end. */
  listEmptiest(targets: readonly Target[], now: number): readonly Target[] {
    const counts = targets.map(({id}) => {
      const {active, helpedPrompts} = this.options.tracker.describe(id, now);
      return active + helpedPrompts;
    });
    const fewest = Math.min(...counts);
    return targets.filter((_, i) => counts[i] === fewest);
  }

  /** Describes an engine; returns the latest candidate while nothing about it changes. */
  describe(target: Target, now: number): Candidate {
    const {id, zone} = target;
    const slowdown = this.options.slowdowns.read(id);
    const described = this.options.tracker.describe(id, now);
    // A helper is sent orders, which a limited or resting engine does not want.
    const load = this.options.access.isSpared(id)
      ? {...described, helpedPrompts: Infinity}
      : described;
    const isRemote = zone !== this.options.zone;
    const known = this.candidates.get(id);
    if (
      known?.load === load &&
      known.slowdown === slowdown &&
      known.isRemote === isRemote
    )
      return known;
    const candidate = {id, isRemote, slowdown, load};
    this.candidates.set(id, candidate);
    return candidate;
  }

  /** Forgets an engine that was removed. */
  drop(target: string): void {
    this.candidates.delete(target);
  }
}
