/**
 * Measures the processor time of one gate for each stream that all gates of a
 * fleet place: 25 peers announce their streams, and callers of the gate's own
 * streams are answered by fake engines. Needs the compiled packages.
 *
 * Usage: node scripts/measure-streams.mjs [seconds] [streams a second of a gate] [profile folder]
 */
import {fork} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const GATE_HOST = '127.0.1.1';
const PORT = Number(process.env.PORT ?? 24_800);
const PEER_PORT = PORT + 2;
/** Folder of the compiled package; another one compares two versions. */
const DIST = process.env.DIST ?? 'dist';

const PEERS = 25;
const ZONES = 3;
const ENGINES = 78;
const WARM_UP_S = 4;

/** Share of announcements that the gate relays to the gates of its zone. */
const RELAYED_SHARE = (2 / 3) * (1 / 9);

/** Time until the first token, pause between events, events of a stream. */
const TTFT_MS = 100;
const PAUSE_MS = 110;
const EVENTS = 12;

const LONG_EVERY = 25;
const SHORT_TOKENS = 4960;
const LONG_TOKENS = 190_000;

const [seconds = 10, streamsPerS = 8] = process.argv.slice(2, 4).map(Number);
const profileFolder = process.argv[4];

async function runGate() {
  const {createDirectGate} = await import(`../packages/direct/${DIST}/gate.js`);
  const {createDecisionLog} = await import(
    `../packages/direct/${DIST}/observe/decision-log.js`
  );
  const {FakeStore} = await import(
    `../packages/direct/${DIST}/test/fake-store.js`
  );
  const {FakeReports} = await import(
    `../packages/direct/${DIST}/test/fake-reports.js`
  );
  const {FakeReservations} = await import(
    `../packages/direct/${DIST}/test/fake-reservations.js`
  );
  const {TestDialect} = await import(
    `../packages/direct/${DIST}/test/test-dialect.js`
  );
  const {buildConfig} = await import(
    `../packages/direct/${DIST}/test/test-config.js`
  );
  const [{targetPort}] = await once(process, 'message');
  const store = new FakeStore();
  store.publishConfig(buildConfig(1));
  for (let i = 0; i < ENGINES; i++)
    store.publishTarget({
      id: `i-${i.toString(16).padStart(10, '0')}@1767597229608`,
      name: `i-${i.toString(16).padStart(10, '0')}`,
      bornAt: undefined,
      service: 'chat',
      host: '127.0.0.1',
      port: targetPort,
      zone: `az-${i % ZONES}`,
      isDraining: false,
    });
  const gate = createDirectGate(
    {
      node: 'gate-a-1',
      zone: 'az-0',
      ingress: {host: GATE_HOST, port: PORT},
      ready: {host: GATE_HOST, port: PORT + 1},
      peers: {host: GATE_HOST, port: PEER_PORT},
      seedHosts: [],
      retryBounds: {ratio: 0.2, slack: 100, windowMs: 10_000},
      isFirstStart: true,
      stopGraceMs: 2000,
      crashRefusalMs: 600_000,
    },
    {
      dialect: new TestDialect(),
      store,
      reservations: new FakeReservations(),
      reports: new FakeReports(),
      log: createDecisionLog({
        proc: 'g',
        output: process.stdout,
        readWallMs: Date.now,
      }),
    },
  );
  await gate.start();
  process.on('message', message => {
    if (message === 'read')
      process.send({
        cpu: process.cpuUsage(),
        counters: gate.readMetrics().counters,
      });
    if (message === 'stop') process.exit(0);
  });
  process.send('started');
}

function startTargets() {
  const server = createServer((req, res) => {
    req.resume();
    let event = 0;
    const sendEvent = () => {
      res.write(
        `id: ${++event}\ndata: {"tokens":[1,2,3,4,5,6,7,8],"piece":"${event}"}\n\n`,
      );
      if (event < EVENTS) setTimeout(sendEvent, PAUSE_MS);
      else res.end();
    };
    setTimeout(() => {
      res.writeHead(200, {
        'content-type': 'text/event-stream',
        'x-test-id': String(req.headers['x-test-id']),
        'x-test-signature': 'signed',
      });
      sendEvent();
    }, TTFT_MS);
  });
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () => resolve(server)),
  );
}

class Peer {
  open = [];
  begun = [];
  number = 0;
  constructor(index) {
    this.host = `127.0.1.${index + 2}`;
    this.zone = `az-${index % ZONES}`;
    this.incarnation = `4711.${123456789 + index}`;
    this.socket = createSocket({type: 'udp4'});
  }
  async start() {
    this.socket.on('message', () => undefined);
    this.socket.bind(PEER_PORT, this.host);
    await once(this.socket, 'listening');
  }
  send(text) {
    this.socket.send(text, PEER_PORT, GATE_HOST);
  }
  beat() {
    this.send(
      JSON.stringify({
        jsonrpc: '2.0',
        method: 'heartbeat',
        params: {
          from: this.host,
          zone: this.zone,
          incarnation: this.incarnation,
          configVersion: 1,
          era: 0,
          revision: ENGINES + 2,
          factsAgeMs: 100,
          contactMs: 5000,
          members: 1,
          known: 25,
          open: this.open,
          begun: this.begun,
          lagMs: 3,
        },
      }),
    );
  }
  announce(fields) {
    this.send(
      (Math.random() < RELAYED_SHARE ? '>' : '') + JSON.stringify(fields),
    );
  }
  async place() {
    const number = ++this.number;
    const key = `${this.host}/${this.incarnation}#${number}`;
    const engine = Math.floor(Math.random() * ENGINES);
    const decoder = `i-${engine.toString(16).padStart(10, '0')}@1767597229608`;
    const isLong = number % LONG_EVERY === 0;
    const helpers = isLong
      ? Array.from(
          {length: 7},
          (_, i) =>
            `i-${((engine + i + 1) % ENGINES).toString(16).padStart(10, '0')}@1767597229608`,
        )
      : [];
    this.open.push(number);
    const tokens = isLong ? LONG_TOKENS : SHORT_TOKENS;
    this.announce([
      'p',
      key,
      decoder,
      isLong ? [decoder, ...helpers] : [],
      [isLong ? 350 : 25],
      tokens,
      tokens + 400,
      [],
      isLong ? 3024 : 309,
      250,
      1.496,
      88,
      0,
    ]);
    await sleep(isLong ? 600 : TTFT_MS);
    this.begun.push(number);
    this.announce(['b', key]);
    await sleep(PAUSE_MS * EVENTS);
    this.open = this.open.filter(other => other !== number);
    this.begun = this.begun.filter(other => other !== number);
    this.announce(['e', key]);
  }
}

const results = {whole: 0, other: 0};

function callGate(number) {
  const body = 'x'.repeat(2000);
  return new Promise(resolve => {
    const req = request({
      host: GATE_HOST,
      port: PORT,
      path: '/stream/x',
      method: 'POST',
      agent: false,
      headers: {
        host: 'site',
        'x-test-id': `q${number}`,
        'x-test-key': 'k1',
        'x-test-deadline': '4000',
        'x-test-tokens': String(
          number % LONG_EVERY === 0 ? LONG_TOKENS : SHORT_TOKENS,
        ),
      },
    });
    req.once('error', () => resolve(results.other++));
    req.once('response', res => {
      res.resume();
      res.once('error', () => undefined);
      res.once('close', () =>
        resolve(
          res.statusCode === 200 && res.complete
            ? results.whole++
            : results.other++,
        ),
      );
    });
    req.end(body);
  });
}

async function readGate(gate) {
  gate.send('read');
  return (await once(gate, 'message'))[0];
}

async function measure() {
  const targets = await startTargets();
  const execArgv =
    profileFolder === undefined
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
  const gate = fork(fileURLToPath(import.meta.url), process.argv.slice(2), {
    execArgv: [
      ...execArgv,
      ...(process.env.GATE_FLAGS ?? '').split(' ').filter(Boolean),
    ],
    env: {...process.env, MEASURED_GATE: '1'},
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });
  if (process.env.GATE_OUT)
    gate.stdout.pipe(
      (await import('node:fs')).createWriteStream(process.env.GATE_OUT),
    );
  else gate.stdout.resume();
  gate.send({targetPort: targets.address().port});
  await once(gate, 'message');
  const peers = Array.from({length: PEERS}, (_, i) => new Peer(i));
  for (const peer of peers) await peer.start();
  const timers = peers.map((peer, i) => {
    setTimeout(() => peer.beat(), i * 40);
    return setInterval(() => peer.beat(), 1000);
  });
  let due = 0;
  let peerDue = 0;
  let calls = 0;
  let last = performance.now();
  timers.push(
    setInterval(() => {
      const now = performance.now();
      due += ((now - last) / 1000) * streamsPerS;
      peerDue += ((now - last) / 1000) * streamsPerS * PEERS;
      last = now;
      for (; due >= 1; due--) void callGate(++calls);
      for (; peerDue >= 1; peerDue--)
        void peers[Math.floor(Math.random() * PEERS)].place();
    }, 4),
  );
  await sleep(WARM_UP_S * 1000);
  const before = await readGate(gate);
  const callsBefore = calls;
  const startedAt = performance.now();
  await sleep(seconds * 1000);
  const after = await readGate(gate);
  const elapsedS = (performance.now() - startedAt) / 1000;
  const userMs = (after.cpu.user - before.cpu.user) / 1000;
  const systemMs = (after.cpu.system - before.cpu.system) / 1000;
  const streams = calls - callsBefore;
  for (const timer of timers) clearInterval(timer);
  console.log(
    `${((userMs + systemMs) / streams).toFixed(2)} ms of a gate for each of its streams (user ${(userMs / streams).toFixed(2)}, system ${(systemMs / streams).toFixed(2)}); ${streams} streams in ${elapsedS.toFixed(1)} s, ${((userMs + systemMs) / elapsedS / 10).toFixed(1)} % of a core; whole ${results.whole}, other ${results.other}; ${((after.cpu.user + after.cpu.system) / 1000).toFixed(0)} ms since the start of the process`,
  );
  const turns = Object.entries(after.counters ?? {}).filter(
    ([name]) => name.startsWith('turn.') && name.endsWith('_ms'),
  );
  for (const [name, value] of turns) {
    const ms = value - (before.counters[name] ?? 0);
    const base = name.slice(0, -3);
    const count = after.counters[base] - (before.counters[base] ?? 0);
    console.log(
      `  ${name.slice(5, -3)}: ${(ms / streams).toFixed(2)} ms a stream, ${count} times`,
    );
  }
  gate.send('stop');
  await once(gate, 'exit');
  process.exit(0);
}

if (process.env.MEASURED_GATE) await runGate();
else await measure();
