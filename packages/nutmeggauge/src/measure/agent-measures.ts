/**
 * Measures cost slopes of the agent: memory, CPU time and control bytes per
 * gate link, request and streamed chunk, and memory per idempotency key in the
 * ledger.
 */
import {v7 as uuidv7} from 'uuid';
import {RpcMethod, waitMs} from '@nutmeggauge/core';
import {findFreePorts} from '../cluster/ports.js';
import {fitSlope} from './fit.js';
import {
  HOST,
  openGateLinks,
  startLocalStandIns,
  sumControlBytes,
} from './fixtures.js';
import {startMeasuredProcess} from './measured-process.js';
import {
  SETTLE_MS,
  STREAM_TOKENS,
  fitCalls,
  fitLinks,
  fitSparseCalls,
  fitStreams,
  measureInterval,
  sendAtRate,
} from './role-slopes.js';
import type {DispatchRequest} from '@nutmeggauge/core';
import type {Slope} from './fit.js';
import type {IntervalUsage} from './role-slopes.js';

const LINK_COUNTS = [1, 10, 50, 150];
const CALL_RATES = [1, 10, 40, 120];
/** Number of links to one agent at the design size. */
const SPARSE_LINKS = 23;
/** Call rates around that of one agent at the design size, in calls/s. */
const SPARSE_RATES = [0.5, 1, 1.5, 2];
const LEDGER_SIZES = [0, 5000, 15_000, 30_000];
/** Number of concurrent calls while the ledger is filled with keys. */
const LEDGER_BATCH = 40;
const CALL_TIMEOUT_MS = 60_000;

/**
 * Starts an agent process in front of a stand-in and opens `links` gate links
 * to it.
 */
async function startLinkedAgent(
  runDir: string,
  links: number,
  kind: 'plain' | 'engine' = 'plain',
) {
  const standIns = await startLocalStandIns();
  const [port] = await findFreePorts(1);
  const url = kind === 'plain' ? standIns.plainUrl : standIns.engineUrl;
  const agent = await startMeasuredProcess('agent', runDir, {
    id: 'agent-m',
    zone: 'az-1',
    listen: {host: HOST, port},
    target: {kind, url},
    configService: {url: standIns.configUrl},
    ledger: {bootstrap: true},
  });
  const gates = await openGateLinks(links, port);
  const call = (request: DispatchRequest, index: number) =>
    gates.links[index % links].call(RpcMethod.dispatch, request);
  return {
    agent,
    call,
    readBytes: () => sumControlBytes(gates.counters.read()),
    close: async () => {
      gates.close();
      await agent.stop();
      await standIns.close();
    },
  };
}

let nextCall = 1;

function buildCall(overrides: Partial<DispatchRequest> = {}): DispatchRequest {
  return {
    requestId: `m-${nextCall++}`,
    account: 'a',
    pool: 'orders',
    kind: 'call',
    op: 'read-stock',
    args: {},
    deadlineAt: Date.now() + CALL_TIMEOUT_MS,
    notRepeatable: false,
    keyed: false,
    recordVersion: 0,
    attempt: 1,
    ...overrides,
  };
}

function buildKeyedCall(): DispatchRequest {
  return buildCall({
    op: 'place-order',
    notRepeatable: true,
    keyed: true,
    ledgerKey: `a:${uuidv7()}`,
    keyMintedAt: Date.now(),
  });
}

function measureLinks(runDir: string): Promise<Slope[]> {
  return fitLinks('agent', LINK_COUNTS, async links => {
    const {agent, readBytes, close} = await startLinkedAgent(runDir, links);
    const interval = await measureInterval(agent, readBytes);
    const {rssMb} = await agent.readUsage();
    await close();
    return {...interval, rssMb};
  });
}

/** Runs `fit` on an agent that receives calls over `links` links in turn. */
async function measureCalls(
  runDir: string,
  links: number,
  fit: (measureAt: (rate: number) => Promise<IntervalUsage>) => Promise<Slope>,
): Promise<Slope> {
  const {agent, call, readBytes, close} = await startLinkedAgent(runDir, links);
  const slope = await fit(rate =>
    measureInterval(agent, readBytes, () =>
      sendAtRate(rate, i => call(buildCall(), i)),
    ),
  );
  await close();
  return slope;
}

async function measureStreams(runDir: string): Promise<Slope[]> {
  const {agent, call, readBytes, close} = await startLinkedAgent(
    runDir,
    4,
    'engine',
  );
  const slopes = await fitStreams('agent', (rate, prompt) =>
    measureInterval(agent, readBytes, () =>
      sendAtRate(rate, i =>
        call(
          buildCall({kind: 'generate', prompt, maxTokens: STREAM_TOKENS}),
          i,
        ),
      ),
    ),
  );
  await close();
  return slopes;
}

/** Measures memory by number of keys in the ledger. */
async function measureLedger(runDir: string): Promise<Slope[]> {
  const {agent, call, close} = await startLinkedAgent(runDir, 1);
  const rss: Array<[number, number]> = [];
  let held = 0;
  for (const keys of LEDGER_SIZES) {
    while (held < keys) {
      const batch = Math.min(LEDGER_BATCH, keys - held);
      const calls = Array.from({length: batch}, () =>
        call(buildKeyedCall(), 0),
      );
      await Promise.all(calls);
      held += batch;
    }
    await waitMs(SETTLE_MS);
    rss.push([keys, (await agent.readUsage()).rssMb]);
  }
  await close();
  return [
    fitSlope('agent.rss_mb_by_ledger_keys', 'keys in the ledger', 'MB', rss),
  ];
}

/** Measures every slope of the agent. */
export async function measureAgent(runDir: string): Promise<readonly Slope[]> {
  return [
    ...(await measureLinks(runDir)),
    await measureCalls(runDir, 8, at => fitCalls('agent', CALL_RATES, at)),
    await measureCalls(runDir, SPARSE_LINKS, at =>
      fitSparseCalls('agent', SPARSE_LINKS, SPARSE_RATES, at),
    ),
    ...(await measureStreams(runDir)),
    ...(await measureLedger(runDir)),
  ];
}
