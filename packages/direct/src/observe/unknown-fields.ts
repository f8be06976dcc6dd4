/** Logs the answer fields that an adapter does not know. */
import type {DecisionLog} from './decision-log.js';

/** Maximum number of names that are logged, once each. */
const MAX_NAMES = 50;

/** Maximum length of a logged value. */
const MAX_VALUE_LENGTH = 80;

/**
 * Logs each unknown field of targets' answers once, with its first value. A
 * field that nobody reads may be a request that nobody meets.
 *
 * @example
 * unknownFields.record('i-1', new Map([['x-quota', '3']]));
 */
export class UnknownFields {
  private readonly names = new Set<string>();

  constructor(private readonly log: DecisionLog) {}

  /** Records the unknown fields of one answer of a target. */
  record(target: string, fields: ReadonlyMap<string, string>): void {
    for (const [name, value] of fields) {
      if (this.names.has(name) || this.names.size >= MAX_NAMES) continue;
      this.names.add(name);
      this.log.warn('answer_field_unknown', {
        target,
        name,
        value: value.slice(0, MAX_VALUE_LENGTH),
      });
    }
  }
}
