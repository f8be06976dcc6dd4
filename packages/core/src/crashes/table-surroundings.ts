/** What the other suspect features tell about one of them. */
import {isPartId} from './fingerprint.js';
import type {CrashSurroundings, SuspectFeature} from './suspect-feature.js';
import type {SuspectTable} from './suspect-table.js';

/** Period around the crashes of a feature in which others form a wave, in ms. */
const WAVE_WINDOW_MS = 5000;

/** Number of crashes that a feature does not explain and that form a wave. */
const WAVE_CRASHES = 2;

/**
 * Crashes around those of one feature.
 *
 * @example
 * feature.isGuilty(new TableSurroundings(feature, table, now, () => new Map()));
 */
export class TableSurroundings implements CrashSurroundings {
  /**
   * @param listEnded - Lists when servers ended, by incarnation id, also of those
   *   that ended under no known request.
   */
  constructor(
    private readonly feature: SuspectFeature,
    private readonly table: SuspectTable,
    readonly now: number,
    private readonly listEnded: () => ReadonlyMap<string, number>,
  ) {}

  /**
   * Lists the targets of refused features under which more servers have crashed
   * than under this one. Requests that such a crash broke off are bystanders.
   */
  listExplained(): ReadonlySet<string> {
    const {length} = this.feature.targets;
    const refused = this.table
      .listRefused()
      .filter(other => other !== this.feature && other.targets.length > length);
    return new Set(refused.flatMap(({targets}) => targets));
  }

  /**
   * Returns whether servers crash that neither the feature nor a refused one
   * explains: innocent requests may then be hit several times by chance.
   */
  isWave(): boolean {
    const early = this.feature.listEarly().map(({at}) => at);
    const since = Math.min(...early) - WAVE_WINDOW_MS;
    const until = Math.max(...early) + WAVE_WINDOW_MS;
    const explained = new Set(this.feature.targets);
    const isNear = (at: number) => at >= since && at <= until;
    const unexplained = new Set(
      [...this.listEnded()]
        .filter(([, at]) => isNear(at))
        .map(([target]) => target),
    );
    for (const other of this.table.list()) {
      if (other === this.feature) continue;
      for (const {target, at} of other.listCrashes())
        if (other.isRefused) explained.add(target);
        else if (isNear(at)) unexplained.add(target);
    }
    for (const target of explained) unexplained.delete(target);
    return unexplained.size >= WAVE_CRASHES;
  }

  /**
   * Lists the refused parts that may as well be the cause, as every crash of this
   * part is one of theirs. Those with good answers shortly before are no rivals of
   * a part without.
   */
  listRivals(): readonly SuspectFeature[] {
    const {targets} = this.feature;
    return this.table
      .listRefused()
      .filter(
        other =>
          other !== this.feature &&
          isPartId(other.id) &&
          (this.feature.isProven || !other.isProven) &&
          targets.every(target => other.targets.includes(target)),
      );
  }
}
