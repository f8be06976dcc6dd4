/**
 * Clients cancel orders by DELETE, with a body that says why; without the
 * disruption they send the same by POST.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {buildConfig, buildEntry, buildHeaders, runCase, sleep} from '../common/harness.mjs';
import {Channel} from '../common/clients.mjs';

const REQUESTS = 10;
const BORN = 1790000000000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({recorder, store, servers, createGate, hasTrouble}) => {
  store.put('op/config', buildConfig(7));
  for (const [name, service] of [['m-1', 'model'], ['d-1', 'desk'], ['d-2', 'desk']]) {
    const address = await servers.start({name});
    store.put(`servers/${name}`, buildEntry(service, address, BORN));
  }
  const gate = await createGate();
  gate.start();
  await gate.waitUntilInTouch();
  const method = hasTrouble ? 'DELETE' : 'POST';
  const sent = new Map();
  for (let n = 1; n <= REQUESTS; n++) {
    const id = `cancel-${n}`;
    const path = `/order/${n}`;
    const body = JSON.stringify({lines: [n], reason: 'ordered twice'});
    sent.set(id, {method, path, body});
    recorder.add(`client ${id} sent ${method} ${path} with the body ${body}`);
    const channel = new Channel(gate.host, gate.front);
    const answer = await channel.call({method, path, headers: buildHeaders(id), body});
    recorder.add(`client ${id} got ${answer.status} ${JSON.stringify(answer.body)}`);
    channel.close();
  }
  await sleep(200);
  const changed = servers.runs.filter(({id, method, url, body}) => {
    const request = sent.get(id);
    return request === undefined || request.method !== method || request.path !== url || request.body !== body;
  });
  for (const run of changed)
    recorder.add(`UNASKED: ${run.server} ran ${run.id} ${run.method} ${run.url} with the body ${JSON.stringify(run.body)}`);
  recorder.add(`${servers.runs.length} runs, ${changed.length} of them of a request that no client sent like that`);
  if (servers.runs.length === 0) throw new Error('no request has run');
  return changed.length > 0;
});
