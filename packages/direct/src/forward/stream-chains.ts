/** Running chains of attempts at one stream. */
import {AttemptChain} from './attempt-chain.js';
import type {StreamAttempt} from './stream-attempt.js';

/**
 * Chains of one stream: two while a backup runs beside a stalled engine, otherwise
 * one.
 *
 * @example
 * const chain = chains.open();
 * chains.close(chain);
 */
export class StreamChains {
  private readonly chains = new Set<AttemptChain>();

  /** Attempts that run. */
  get attempts(): readonly StreamAttempt[] {
    return [...this.chains].flatMap(({attempt}) => attempt ?? []);
  }

  /**
   * Estimates the time until an attempt that runs has its first token, in ms;
   * undefined if none runs.
   */
  estimateFirstTokenMs(): number | undefined {
    const waits = [...this.chains].flatMap(({attempt, placed}) =>
      attempt === undefined || placed === undefined
        ? []
        : placed.estimateRemainingPrefillMs(),
    );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /**
   * Opens a chain.
   *
   * @param retryClaimedAt - Time at which the retry of its first attempt was
   *   claimed, in ms; absent for the first chain.
   */
  open(retryClaimedAt?: number): AttemptChain {
    const chain = new AttemptChain();
    chain.retryClaimedAt = retryClaimedAt;
    this.chains.add(chain);
    return chain;
  }

  /** Ends a chain and its attempt. */
  close(chain: AttemptChain): void {
    this.chains.delete(chain);
    chain.close();
  }

  /** Ends all chains. */
  closeAll(): void {
    for (const chain of [...this.chains]) this.close(chain);
  }

  /** Finds a chain other than `chain` that is running. */
  findOther(chain: AttemptChain): AttemptChain | undefined {
    return [...this.chains].find(other => other !== chain);
  }

  /**
   * Claims the response for one chain and closes the other; returns false if the
   * other chain has claimed it already.
   */
  claimResponse(chain: AttemptChain): boolean {
    if (chain.isClosed) return false;
    for (const other of [...this.chains])
      if (other !== chain) this.close(other);
    chain.isStalled = false;
    return true;
  }
}
