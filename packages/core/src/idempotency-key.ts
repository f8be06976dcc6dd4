/**
 * What an Idempotency-Key says of its age. A UUIDv7 carries the time at
 * which the caller made it; any other text says nothing of its age.
 *
 * The age matters because agents keep their ledgers in memory only: an agent
 * that restarted can run a key made after its start, and must not run one
 * that may have met the ledger of its earlier life.
 */
import {parse, validate, version} from 'uuid';

/**
 * Most that the clocks of callers, gates and agents are taken to differ, in
 * ms. A key from further in the future is refused by the gate.
 */
export const CLOCK_SKEW_MS = 2000;

/**
 * Reads the time at which a key was made, in epoch ms; undefined when the
 * key is not a UUIDv7.
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
