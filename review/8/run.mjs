// Another writer leaves an entry, of a service that isn't named, at the address of a
// server that is in use.
import {
  Channel,
  Store,
  HAS_TROUBLE,
  buildConfig,
  buildEntry,
  buildProof,
  createGates,
  createId,
  renderRequest,
  runCase,
  sleep,
  startServer,
} from '../common-2/harness.mjs';

const GATES = 5;
const CLIENTS = 10;

/** Events of an answer, and the time between two, in ms. */
const EVENTS = 20;
const EVENT_MS = 100;

/** Answers that a machine may leave out on kept channels. */
const ALLOWED = 3;

await runCase(import.meta.dirname, async (record, parts) => {
  const store = await new Store().start();
  parts.push(store);
  const engine = await startServer(async (req, res) => {
    const id = req.headers['x-nutmeggauge-request-id'];
    record.add(`i-1 runs ${id}`);
    res.writeHead(200, {
      ...buildProof(id),
      'Content-Type': 'text/event-stream',
    });
    for (let event = 1; event <= EVENTS && !res.destroyed; event++) {
      await sleep(EVENT_MS);
      res.write(`id: ${event}\ndata: piece ${event}\n\n`);
    }
    record.add(`i-1 ${res.destroyed ? 'is cut off at' : 'ends'} ${id}`);
    res.end();
  });
  parts.push(engine);
  store.put('op/config', buildConfig());
  store.put('servers/i-1', buildEntry('engines', engine.address, Date.now()));
  const gates = await createGates(record, store, GATES);
  parts.push(...gates);
  await Promise.all(gates.map(gate => gate.start()));
  let isOver = false;
  const cut = new Map(gates.map(({node}) => [node, 0]));
  const clients = Array.from({length: CLIENTS}, async (_, i) => {
    const gate = gates[i % 2];
    let channel = new Channel(gate.front);
    for (let sent = 0; !isOver; sent++) {
      const id = createId();
      channel.send(renderRequest({path: '/once/draft', id, tokens: '500,900'}));
      const {status, end, body} = await channel.read(10_000);
      record.add(
        `client sent ${id} to ${gate.node} on a ${sent > 0 ? 'kept' : 'new'} ` +
          `channel, has status ${status}, ${body?.length} bytes, ${end}`,
      );
      if (end === 'whole') continue;
      if (sent > 0) cut.set(gate.node, cut.get(gate.node) + 1);
      channel = new Channel(gate.front);
      sent = -1;
    }
    channel.close();
  });
  await sleep(5000);
  if (HAS_TROUBLE) {
    store.put(
      'servers/i-1-old',
      buildEntry('drafts-2025', engine.address, Date.now()),
    );
    record.add('another writer writes servers/i-1-old');
  }
  await sleep(3000);
  isOver = true;
  await Promise.all(clients);
  const most = Math.max(...cut.values());
  record.add(JSON.stringify(Object.fromEntries(cut)));
  if (most <= ALLOWED) return undefined;
  return `LOST: one machine cut off ${most} answers of a sound server`;
});
