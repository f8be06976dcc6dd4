/** Hashes of sets of gates, from which a change by one gate can be told. */

/** Number of different hashes of a host. */
const HASH_RANGE = 2 ** 32;

/** Hash of each host; kept because every heartbeat needs it. */
const hashByHost = new Map<string, number>();
const hostByHash = new Map<number, string>();

/**
 * Hashes a set of hosts, in any order.
 *
 * @example
 * hashHosts(['10.1.0.4', '10.2.0.4']); // 32 bits
 */
export function hashHosts(hosts: readonly string[]): number {
  let sum = 0;
  for (const host of hosts) sum += hashHost(host);
  return sum % HASH_RANGE;
}

/**
 * Finds the host by which two sets differ, as told by their hashes; undefined if
 * they differ by none, by several or by a host that this gate has not hashed yet.
 *
 * @example
 * findDifference(hashHosts(['a', 'b']), hashHosts(['a'])); // 'b'
 */
export function findDifference(a: number, b: number): string | undefined {
  return (
    hostByHash.get((a - b + HASH_RANGE) % HASH_RANGE) ??
    hostByHash.get((b - a + HASH_RANGE) % HASH_RANGE)
  );
}

/** Hashes a host (FNV-1a, 32 bits). */
function hashHost(host: string): number {
  const known = hashByHost.get(host);
  if (known !== undefined) return known;
  let hash = 0x811c9dc5;
  for (let i = 0; i < host.length; i++)
    hash = Math.imul(hash ^ host.charCodeAt(i), 0x01000193) >>> 0;
  hashByHost.set(host, hash);
  hostByHash.set(hash, host);
  return hash;
}
