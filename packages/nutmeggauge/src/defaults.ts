/**
 * The embedded default deployment and workload of `nutmeggauge demo`: the
 * two operators' client accounts, a chat model pool on engine stand-ins and
 * an order service whose `place-order` call must never be repeated.
 */
import type {ClusterTarget} from './cluster/local-cluster.js';
import type {WorkloadSpec} from './load/workload.js';

/** API keys of the demo's client accounts. */
export const DEMO_KEYS = {
  hinokuniCare: 'hk-care-0001-demo',
  hinokuniStaff: 'hk-staff-0002-demo',
  hraunvikDealers: 'hv-dealer-0003-demo',
  hraunvikForemen: 'hv-foreman-0004-demo',
} as const;

/**
 * Builds the configuration record for a cluster's targets.
 *
 * @example
 * await cluster.publish(buildDemoRecord(cluster.targets));
 */
export function buildDemoRecord(targets: readonly ClusterTarget[]): object {
  const asTarget = (t: ClusterTarget) => ({
    id: t.id,
    agent: t.agent,
    zone: t.zone,
  });
  return {
    schemaVersion: 1,
    accounts: [
      {
        id: 'hinokuni-care',
        keys: [DEMO_KEYS.hinokuniCare],
        pools: ['chat', 'orders'],
        ratePerSecond: 200,
        maxConcurrent: 200,
      },
      {
        id: 'hinokuni-staff',
        keys: [DEMO_KEYS.hinokuniStaff],
        pools: ['chat'],
        ratePerSecond: 200,
        maxConcurrent: 200,
      },
      {
        id: 'hraunvik-dealers',
        keys: [DEMO_KEYS.hraunvikDealers],
        pools: ['chat', 'orders'],
        ratePerSecond: 200,
        maxConcurrent: 200,
      },
      {
        id: 'hraunvik-foremen',
        keys: [DEMO_KEYS.hraunvikForemen],
        pools: ['chat'],
        ratePerSecond: 200,
        maxConcurrent: 200,
      },
    ],
    pools: [
      {
        id: 'chat',
        kind: 'engine',
        targets: targets.filter(t => t.kind === 'engine').map(asTarget),
      },
      {
        id: 'orders',
        kind: 'plain',
        targets: targets.filter(t => t.kind === 'plain').map(asTarget),
      },
    ],
    rules: [{pool: 'orders', op: 'place-order', notRepeatable: true}],
  };
}

/** The demo's workload: 150 completions, 1 in 50 over 100k tokens, and order calls. */
export const DEMO_WORKLOAD: WorkloadSpec = {
  seed: 20261202,
  requests: 150,
  ratePerSecond: 30,
  longShare: 1 / 50,
  minPromptTokens: 1000,
  maxPromptTokens: 1_000_000,
  longThresholdTokens: 100_000,
  sharedPrefixTokens: 2000,
  sharedPrefixShare: 0.5,
  maxNewTokens: 32,
  keys: Object.values(DEMO_KEYS),
  orderKeys: [DEMO_KEYS.hinokuniCare, DEMO_KEYS.hraunvikDealers],
  orders: 8,
  repeatedOrders: 3,
};
