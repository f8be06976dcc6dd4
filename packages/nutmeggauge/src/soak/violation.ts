/** Violations that the checks of the soak report. */

/** A violated invariant, and the request that violated it if there is one. */
export interface Violation {
  readonly promise:
    | 'answered'
    | 'at-most-once'
    | 'attempts'
    | 'not-run'
    | 'whole-answer'
    | 'key-kept'
    | 'account-set'
    | 'memory-returned'
    | 'no-exit'
    | 'memory-bound'
    | 'answered-in-time'
    | 'drain'
    | 'revoked-key'
    | 'graceful-stop'
    | 'recovery'
    | 'crashing-request'
    | 'innocent-refused'
    | 'caller-gone'
    | 'target-limit'
    | 'target-leaving'
    | 'target-rest'
    | 'zone-evacuated'
    | 'all-zones-evacuated'
    | 'zone-restored'
    | 'cold-target';
  readonly requestId: string | undefined;
  readonly detail: string;
}
