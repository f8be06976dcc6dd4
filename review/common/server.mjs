/**
 * A server as the pages describe it, in a process of its own. Tells its parent
 * each request that it runs, as a line of JSON.
 *
 *   node server.mjs '{"name":"m-1","host":"127.0.0.1","sendsLength":true}'
 */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const {
  name,
  host,
  pieces = 20,
  pieceMs = 100,
  callMs = 100,
  sendsLength = false,
} = JSON.parse(process.argv[2]);

const tell = event => process.stdout.write(`${JSON.stringify({server: name, ...event})}\n`);

const server = createServer((req, res) => {
  const parts = [];
  res.on('error', () => undefined);
  req.on('error', () => undefined);
  req.on('data', part => parts.push(part));
  req.on('end', () => void serve(req, res, Buffer.concat(parts).toString()));
});

async function serve(req, res, body) {
  const {method, url, headers} = req;
  if (url === '/health') return sendText(res, 200, {'X-Nutmeggauge-Instance-Id': name}, '');
  if (url === '/-/report')
    return sendText(res, 200, {'Content-Type': 'application/json'}, '{"stage":"both","busy":false,"sequence":0,"queued":0,"running":0,"pace":1}');
  if (url === '/-/order') return sendText(res, 200, {'Content-Type': 'application/json'}, '{"free":100000}');
  const id = headers['x-nutmeggauge-request-id'] ?? '';
  const expected = headers['x-nutmeggauge-expect-instance'];
  if (expected !== undefined && expected !== name)
    return sendText(res, 421, {'X-Nutmeggauge-Not-Executed': '1', 'X-Nutmeggauge-Instance-Id': name}, '');
  tell({event: 'run', id, method, url, body, lastEventId: headers['last-event-id']});
  const signed = {'X-Nutmeggauge-Request-Id': id, 'X-Nutmeggauge-Response-Signature': `proof-${name}-${id}`};
  if (headers['x-nutmeggauge-token-usage'] !== undefined) return sendStream(req, res, id, signed);
  await sleep(callMs);
  if (res.destroyed) return tell({event: 'dropped', id});
  sendText(res, 200, signed, `done ${id}`);
}

function sendText(res, status, headers, text) {
  res.writeHead(status, {...headers, 'Content-Length': Buffer.byteLength(text)});
  res.end(text);
}

/** Builds the rest of an answer; each run words its pieces anew. */
function buildPieces(id, lastEventId) {
  const list = [];
  for (let n = lastEventId + 1; n <= pieces; n++) {
    const words = 'word '.repeat(1 + Math.floor(Math.random() * 12)).trim();
    list.push(`id: ${n}\ndata: ${id} piece ${n} of ${pieces}: ${words}\n\n`);
  }
  return list;
}

async function sendStream(req, res, id, signed) {
  const list = buildPieces(id, Number(req.headers['last-event-id'] ?? 0));
  const length = sendsLength ? {'Content-Length': Buffer.byteLength(list.join(''))} : {};
  res.writeHead(200, {...signed, 'Content-Type': 'text/event-stream', ...length});
  for (const piece of list) {
    await sleep(pieceMs);
    if (res.destroyed) return tell({event: 'dropped', id});
    res.write(piece);
  }
  res.end();
  tell({event: 'sent', id, pieces: list.length});
}

server.listen(0, host, () => tell({event: 'listening', port: server.address().port}));
