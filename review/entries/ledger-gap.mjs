/**
 * Entry of KNOWN-RED.txt on packages/agent/src/ledger/ownership.ts, as processes of
 * the path with an agent beside each target (no case: the deploy file starts none of
 * these programs). Needs `npx tsc -b`. Exits with 1 if a keyed order ran twice.
 *
 * An agent stands still while its target is taken out of the pool and put back, and so
 * misses that the pool was another. A caller whose answer was lost sends its order
 * again with the same key.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {createRequire} from 'node:module';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath, pathToFileURL} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const load = path => import(pathToFileURL(join(ROOT, path)).href);
const {startLocalCluster} = await load('packages/nutmeggauge/dist/cluster/local-cluster.js');
const {buildDemoRecord} = await load('packages/nutmeggauge/dist/defaults.js');
const {readExecutions} = await load('packages/nutmeggauge/dist/load/executions.js');
const {findHome} = await load('packages/core/dist/index.js');
const {v7: uuidv7} = await import(
  pathToFileURL(createRequire(join(ROOT, 'packages/nutmeggauge/package.json')).resolve('uuid')).href
);

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
/** Time until a new home claims keys: 8 s to all gates and 2 s of clock skew. */
const SETTLE_MS = 10600;
/** Time after which a watch that was waiting has ended. */
const WATCH_MS = 21500;
const hasTrouble = process.env.TROUBLE !== '0';
const runDir = mkdtempSync(join(tmpdir(), 'review-ledger-'));
const cluster = await startLocalCluster({runDir, engines: 1, plainServices: 2, gates: 1});
const say = text => console.log(`${(performance.now() / 1000).toFixed(1).padStart(5)} s ${text}`);
let status = 2;
try {
  const {targets} = cluster;
  const record = buildDemoRecord(targets);
  const account = record.accounts.find(({pools}) => pools.includes('orders'));
  await cluster.publish(record);
  await cluster.waitUntilReady();
  if (hasTrouble) {
    cluster.signal('agent-plain-1', 'SIGSTOP');
    say('agent-plain-1 stands still');
  }
  // The agent's watch, which waits for 20 s at most, has ended without a change by then.
  await sleep(WATCH_MS);
  await cluster.publish(buildDemoRecord(targets.filter(({id}) => id !== 'plain-1')));
  say('the pool is plain-2 alone');
  await sleep(SETTLE_MS);
  let key;
  do key = uuidv7();
  while (findHome(['plain-1', 'plain-2'], `${account.id}:${key}`) !== 'plain-1');
  const url = new URL(`${cluster.gateUrls[0]}/v1/services/orders/place-order`);
  const body = JSON.stringify({sku: 'kit'});
  // The caller's connection breaks before it has the answer.
  await new Promise(resolve => {
    const socket = connect(Number(url.port), url.hostname, () => {
      socket.write(
        `POST ${url.pathname} HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer ${account.keys[0]}\r\n` +
          `Idempotency-Key: ${key}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
    });
    socket.once('data', () => {
      socket.destroy();
      resolve();
    });
    socket.on('error', resolve);
  });
  say('the order has run; its answer is lost');
  await cluster.publish(record);
  say('the pool is plain-1 and plain-2 again');
  await sleep(500);
  if (hasTrouble) {
    cluster.signal('agent-plain-1', 'SIGCONT');
    say('agent-plain-1 goes on');
  }
  for (let i = 0; i < 4; i++) {
    await sleep(2000);
    const answer = await fetch(url, {
      method: 'POST',
      headers: {authorization: `Bearer ${account.keys[0]}`, 'idempotency-key': key, 'content-type': 'application/json'},
      body,
    });
    say(`the caller sends it again: ${answer.status} ${(await answer.text()).slice(0, 120)}`);
    if (answer.status === 200) break;
  }
  await sleep(500);
  const runs = readExecutions(runDir).filter(({ledgerKey}) => ledgerKey?.includes(key)).length;
  say(`the order ran ${runs} times`);
  status = runs > 1 ? 1 : runs === 1 ? 0 : 2;
} finally {
  await cluster.stop();
  rmSync(runDir, {recursive: true, force: true});
}
process.exit(status);
