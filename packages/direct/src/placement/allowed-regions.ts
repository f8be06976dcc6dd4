/** Restricts requests to the regions that their route and account allow. */

/**
 * Lists the zones in the regions that all of `restrictions` allow.
 *
 * @param restrictions - Regions that the route and the account allow; absent or
 *   empty to allow every region.
 * @param regionByZone - A zone without a region lies in none that is allowed.
 * @returns Undefined if there is no restriction.
 * @example
 * listAllowedZones([['eu'], undefined], new Map([['az-1', 'eu']])); // az-1
 */
export function listAllowedZones(
  restrictions: ReadonlyArray<readonly string[] | undefined>,
  regionByZone: ReadonlyMap<string, string>,
): ReadonlySet<string> | undefined {
  const binding = restrictions.filter(
    regions => regions !== undefined && regions.length > 0,
  );
  if (binding.length === 0) return undefined;
  const zones = [...regionByZone].filter(([, region]) =>
    binding.every(regions => regions?.includes(region)),
  );
  return new Set(zones.map(([zone]) => zone));
}
