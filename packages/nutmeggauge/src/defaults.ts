/**
 * Default deployment, workload and faults of `nutmeggauge demo`: client
 * accounts of two operators, a pool of engine stand-ins for a chat model, and
 * an order service whose `place-order` call must never be executed twice.
 */
import type {ClusterTarget} from './cluster/cluster-spec.js';
import type {Fault} from './faults/schedule.js';
import type {WorkloadSpec} from './load/workload.js';

/** Client account in the configuration record of a demo or bench. */
export interface DemoAccount {
  readonly id: string;
  readonly key: string;
  readonly pools: readonly string[];
}

/** Client accounts of the demo; the pool `orders` lets them place orders. */
const DEMO_ACCOUNTS: readonly DemoAccount[] = [
  {id: 'hinokuni-care', key: 'hk-care-0001-demo', pools: ['chat', 'orders']},
  {id: 'hinokuni-staff', key: 'hk-staff-0002-demo', pools: ['chat']},
  {
    id: 'hraunvik-dealers',
    key: 'hv-dealer-0003-demo',
    pools: ['chat', 'orders'],
  },
  {id: 'hraunvik-foremen', key: 'hv-foreman-0004-demo', pools: ['chat']},
];

/** Limits of every demo account, above the load of the demo. */
const DEMO_LIMITS = {ratePerSecond: 500, maxConcurrent: 2000};

const listKeys = (accounts: readonly DemoAccount[]) =>
  accounts.map(account => account.key);

/**
 * Builds the configuration record for the targets of a cluster.
 *
 * @example
 * await cluster.publish(buildDemoRecord(cluster.targets));
 */
export function buildDemoRecord(
  targets: readonly ClusterTarget[],
  accounts: readonly DemoAccount[] = DEMO_ACCOUNTS,
): object {
  const listTargets = (kind: ClusterTarget['kind']) =>
    targets
      .filter(target => target.kind === kind)
      .map(({id, agent, zone}) => ({id, agent, zone}));
  return {
    schemaVersion: 1,
    accounts: accounts.map(({id, key, pools}) => ({
      id,
      keys: [key],
      pools,
      ...DEMO_LIMITS,
    })),
    pools: [
      {id: 'chat', kind: 'engine', targets: listTargets('engine')},
      {id: 'orders', kind: 'plain', targets: listTargets('plain')},
    ],
    rules: [{pool: 'orders', op: 'place-order', notRepeatable: true}],
  };
}

/** Demo workload: 150 completions, 1 in 50 over 100k tokens, and orders. */
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
  keys: listKeys(DEMO_ACCOUNTS),
  orderKeys: listKeys(DEMO_ACCOUNTS.filter(a => a.pools.includes('orders'))),
  orders: 8,
  repeatedOrders: 3,
};

/** Workload of `demo --faults`: longer, with many repeated orders. */
export const FAULT_WORKLOAD: WorkloadSpec = {
  ...DEMO_WORKLOAD,
  requests: 360,
  orders: 80,
  repeatedOrders: 80,
  repeatAfterMs: 700,
};

/** Faults of `demo --faults`, during about 12 seconds of load. */
export const DEMO_FAULTS: readonly Fault[] = [
  {atMs: 1000, forMs: 1500, kind: 'kill', process: 'engine-01'},
  {atMs: 2000, forMs: 1500, kind: 'kill', process: 'agent-engine-02'},
  {atMs: 3000, forMs: 2000, kind: 'pause', process: 'gate-2'},
  {atMs: 3500, forMs: 4000, kind: 'config-down'},
  {atMs: 4500, forMs: 500, kind: 'kill', process: 'agent-plain-1'},
  {atMs: 6000, forMs: 2000, kind: 'pause', process: 'agent-engine-03'},
  {atMs: 7000, forMs: 800, kind: 'kill', process: 'plain-1'},
  {atMs: 8000, forMs: 2000, kind: 'config-stale'},
  {atMs: 9000, forMs: 1000, kind: 'pause', process: 'agent-plain-1'},
];
