/**
 * Reads the creation time of Idempotency-Keys. A UUIDv7 contains the time at
 * which the caller created it; the age of any other key is unknown.
 *
 * Agents keep their ledgers of executed keys in memory only. After a restart,
 * an agent may run a request whose key was created after the start, but must
 * not run one whose key the ledger of an earlier incarnation may have recorded.
 */
import {parse, validate, version} from 'uuid';

/**
 * Assumed maximum clock skew between callers, gates and agents, in ms. The gate
 * rejects a key whose creation time lies further in the future.
 */
export const CLOCK_SKEW_MS = 2000;

/**
 * Returns the creation time of a key in epoch ms; undefined when the key is not
 * a UUIDv7.
 *
 * @example
 * readMintTime('01939f2e-7b1c-7000-8000-000000000000'); // 1733500000028
 * readMintTime('order-17'); // undefined
 */
export function readMintTime(key: string): number | undefined {
  if (!validate(key) || version(key) !== 7) return undefined;
  const bytes = parse(key);
  // RFC 9562: the first 48 bits are the Unix time in ms.
  return bytes.slice(0, 6).reduce((ms, byte) => ms * 256 + byte, 0);
}
