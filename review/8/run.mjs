// Another writer leaves an entry, of a service that isn't named, at the address of a
// server that is in use.
import {
  Channel,
  Store,
  HAS_TROUBLE,
  IN_TOUCH_MS,
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

/** Cuts on kept channels that a machine may have. */
const ALLOWED = 3;

/** Time from a change for which it is planned work, in ms: `configApplyMs` + 1 s. */
const PLANNED_MS = 3000;

/** Part of its time from which a request doesn't count, and that time, in ms. */
const COUNTED_SHARE = 0.7;
const TIME_LIMIT_MS = 10_000;

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
  await sleep(IN_TOUCH_MS);
  let isOver = false;
  let changedAt = Infinity;
  /** Cuts beside the change, and at other times, by gate. */
  const cuts = new Map(
    gates.map(({node}) => [node, {beside: 0, besideKept: 0, others: 0}]),
  );
  const recordCut = (node, sentAt, isKept) => {
    const now = performance.now();
    const count = cuts.get(node);
    const isBeside = now >= changedAt && now < changedAt + PLANNED_MS;
    if (!isBeside) count.others++;
    else if (now - sentAt < TIME_LIMIT_MS * COUNTED_SHARE) {
      count.beside++;
      if (isKept) count.besideKept++;
    }
  };
  const clients = Array.from({length: CLIENTS}, async (_, i) => {
    const gate = gates[i % 2];
    let channel = new Channel(gate.front);
    for (let sent = 0; !isOver; sent++) {
      const id = createId();
      const sentAt = performance.now();
      channel.send(renderRequest({path: '/once/draft', id, tokens: '500,900'}));
      const {status, end, body} = await channel.read(10_000);
      record.add(
        `client sent ${id} to ${gate.node} on a ${sent > 0 ? 'kept' : 'new'} ` +
          `channel, has status ${status}, ${body?.length} bytes, ${end}`,
      );
      if (end === 'whole') continue;
      recordCut(gate.node, sentAt, sent > 0);
      channel = new Channel(gate.front);
      sent = -1;
    }
    channel.close();
  });
  await sleep(5000);
  const config = buildConfig(9);
  const [first] = config.routes;
  config.routes.push({...first, name: 'added', prefix: '/added/'});
  store.put('op/config', config);
  changedAt = performance.now();
  record.add('the operator adds a route');
  await sleep(500);
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
  record.add(JSON.stringify(Object.fromEntries(cuts)));
  const broken = [...cuts.values()].filter(
    ({beside, besideKept, others}) =>
      beside > 3 * others && besideKept > ALLOWED,
  );
  if (broken.length === 0) return undefined;
  const most = Math.max(...broken.map(({besideKept}) => besideKept));
  return `LOST: ${broken.length} machines cut off up to ${most} answers`;
});
