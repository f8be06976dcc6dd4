/** Slowdown to expect of a cold engine that has not reported one yet. */

/** Dependencies of {@link ColdSlowdowns}. */
export interface ColdSlowdownsOptions {
  readonly isCold: (target: string) => boolean;
  readonly findService: (target: string) => string | undefined;
}

/**
 * Keeps the last slowdown that a cold engine of each service has reported.
 *
 * @example
 * slowdowns.record('i-1', 2.5);
 * slowdowns.read('i-2'); // 2.5 if it is cold and of the same service
 */
export class ColdSlowdowns {
  private readonly lastByService = new Map<string, number>();
  /** Cold engines that have reported. */
  private readonly reported = new Set<string>();

  constructor(private readonly options: ColdSlowdownsOptions) {}

  /** Records the report of an engine. */
  record(target: string, slowdown: number): void {
    const {isCold, findService} = this.options;
    const service = findService(target);
    if (service === undefined || !isCold(target)) return;
    this.reported.add(target);
    this.lastByService.set(service, slowdown);
  }

  /** Reads the slowdown of an engine without a report; 1 if it is warm. */
  read(target: string): number {
    const {isCold, findService} = this.options;
    if (!isCold(target) || this.reported.has(target)) return 1;
    return this.lastByService.get(findService(target) ?? '') ?? 1;
  }

  /** Forgets the reports of engines that are warm or were removed. */
  expire(): void {
    for (const target of this.reported)
      if (!this.options.isCold(target)) this.reported.delete(target);
  }
}
