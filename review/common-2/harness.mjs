// Shared parts of the scripts of the second review: a stand-in of the platform's
// store, the start of the gate by the command of the deploy file, and the record of
// what was sent, answered and run. No dependencies beside Node.js.
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Root of the repository. */
export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

/** Port of the metrics in the command of the deploy file. */
const METRICS_PORT = 7390;

/** False if the script runs without the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Time after its start from which a gate is in touch (`contactMs` is 3,000), in ms. */
export const IN_TOUCH_MS = 4000;

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Thrown if the case cannot run, which says nothing about the rule. */
export class CannotRun extends Error {}

/** Writes the record of one run. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.path, `trouble: ${HAS_TROUBLE ? 'yes' : 'no'}\n`);
  }

  add(text) {
    const ms = Math.round(performance.now() - this.startedAt);
    appendFileSync(this.path, `${String(ms).padStart(6)} ms ${text}\n`);
  }
}

/** Waits until `isTrue` returns a true value, and returns it. */
export async function waitUntil(isTrue, ms, what) {
  const endsAt = performance.now() + ms;
  for (;;) {
    const value = await isTrue();
    if (value) return value;
    if (performance.now() > endsAt)
      throw new CannotRun(`waited ${ms} ms in vain: ${what}`);
    await sleep(20);
  }
}

/** Returns whether a port of an address is free. */
function isPortFree(host, port) {
  return new Promise(done => {
    const probe = createServer();
    probe.once('error', () => done(false));
    probe.listen(port, host, () => probe.close(() => done(true)));
  });
}

/** Picks a loopback address of its own, on which the metrics port is free. */
export async function pickHost() {
  for (let i = 0; i < 50; i++) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${part()}.${part()}.${part()}`;
    if (await isPortFree(host, METRICS_PORT)) return host;
  }
  throw new CannotRun('no free loopback address');
}

/** Stand-in of the platform's store: reads and watches of items with revisions. */
export class Store {
  revision = 0;
  items = new Map();
  events = [];
  waiters = new Set();

  async start() {
    this.server = createHttpServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  put(key, body) {
    const value = Buffer.from(JSON.stringify(body)).toString('base64');
    const revision = ++this.revision;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease: 0};
    this.items.set(key, item);
    this.tell(item);
  }

  remove(key) {
    this.items.delete(key);
    this.tell({key, revision: ++this.revision, deleted: true});
  }

  tell(event) {
    this.events.push(event);
    for (const wake of [...this.waiters]) wake();
  }

  async serve(req, res) {
    const {pathname, searchParams: query} = new URL(req.url, 'http://store');
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    if (pathname === '/-/kv-range') {
      const items = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return this.send(res, 200, {items, hasMore: false, asOf: this.revision});
    }
    if (pathname === '/-/kv-watch') {
      const since = Number(after);
      const list = () =>
        this.events.filter(
          ({key, revision}) => revision > since && key.startsWith(prefix),
        );
      if (list().length === 0) await this.wait(Number(query.get('waitMs')));
      return this.send(res, 200, {events: list(), asOf: this.revision});
    }
    this.send(res, 404, {});
  }

  wait(ms) {
    return new Promise(done => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        done();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  send(res, status, body) {
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': '1',
    });
    res.end(JSON.stringify(body));
  }

  stop() {
    for (const wake of [...this.waiters]) wake();
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Engine of the sheets, as a configuration describes it. */
const ENGINE = {
  slots: 11,
  kvCapacityTokens: 315000,
  kvTokenBytes: 163840,
  linkMbps: 400000,
  stride: 51,
  models: [{name: 'm'}],
  step_ms: 0.85,
  per_seq_ms: 0.0062,
  context_per_k: 0.00285,
  read_per_s: 177000,
  pairs_per_m: 0.184,
  chunk: 2048,
  report_lag_ms: 200,
  loadsPerS: 0,
  loads_at_once: 8,
  delays: [],
  usual: {prompt: 11094, answer: 1622},
  hopMs: 0.05,
};

const ROUTE = {
  host: 'site.example',
  timeoutMs: 10000,
  goalMs: 386,
  priority: 1,
  maxAttempts: 2,
  public: false,
};

export const KEY = 'n2ctnfzs989anu6wsjnb';

/** Builds the operator's configuration; `changes` replace fields of routes by name. */
export function buildConfig(version = 7, changes = {}) {
  const routes = [
    {...ROUTE, name: 'look', kind: 'safe', prefix: '/look/', service: 'core'},
    {
      ...ROUTE,
      name: 'order',
      kind: 'unsafe',
      prefix: '/order/',
      service: 'core',
      maxAttempts: 1,
    },
    {
      ...ROUTE,
      name: 'chat',
      kind: 'stream',
      prefix: '/chat/',
      service: 'engines',
      sticky: true,
      resumable: true,
      gapGoalMs: 250,
    },
    {
      ...ROUTE,
      name: 'once',
      kind: 'stream',
      prefix: '/once/',
      service: 'engines',
      sticky: true,
      resumable: false,
      gapGoalMs: 250,
      maxAttempts: 1,
    },
  ];
  return {
    version,
    routes: routes.map(route => ({...route, ...changes[route.name]})),
    services: [
      {
        name: 'engines',
        healthCheckPath: '/health',
        maxConnections: 364,
        protocol: 'h1',
        tls: false,
        engine: ENGINE,
      },
      {
        name: 'core',
        healthCheckPath: '/health',
        maxConnections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{name: 'hule930', apiKeys: [KEY], priority: 1}],
  };
}

/** Entry of a server, as it registers itself in the store. */
export function buildEntry(service, address, born, changes = {}) {
  return {
    service,
    address,
    zone: 'fukuoka-a',
    version: '1',
    slots: service === 'engines' ? 11 : 6,
    state: 'ready',
    coldRemainingMs: 0,
    sequence: 0,
    born,
    ...changes,
  };
}

function renderSettings({node, host, ports, seeds, store, bootstrap}) {
  const [front, ready, control, internal] = ports;
  return `node = "${node}"
role = "gate"
machineClass = "front"
serves = ["front","control"]
ip = "${host}"
zone = "fukuoka-a"
region = "kyushu"
internalPorts = [${internal},${internal + 15}]
seeds = [${seeds.map(seed => `"${seed}:${control}"`).join(',')}]
bootstrap = ${bootstrap}
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
fukuoka-a = "kyushu"
[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
control = "${host}:${control}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 104
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[provider]
address = "${store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/** Reads the command of the gate in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^\[roles\.gate\][^[]*?^run = "([^"]+)"/ms.exec(text)?.[1];
  if (run === undefined) throw new CannotRun('no command in the deploy file');
  return run.split(' ');
}

/** A gate in a process of its own. */
export class Gate {
  logs = [];
  ends = [];

  constructor(record, {node, host, ports, seeds, store}) {
    Object.assign(this, {record, node, host, ports, seeds, store});
    this.front = {host, port: ports[0]};
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.settings = join(this.folder, 'boot.toml');
  }

  /** Starts the process as the platform does. */
  launch(bootstrap = true) {
    writeFileSync(this.settings, renderSettings({...this, bootstrap}));
    const [program, ...args] = readCommand();
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, NUTMEGGAUGE_CONFIG: this.settings},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    this.child = child;
    let rest = '';
    child.stdout.on('data', part => {
      const lines = (rest + part).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        try {
          this.logs.push(JSON.parse(line));
        } catch {
          // Not a line of the gate's log.
        }
      }
    });
    this.hasEnded = new Promise(done =>
      child.once('exit', (status, signal) => {
        this.ends.push({status, signal});
        this.record.add(
          `${this.node} process ended: status ${status}, signal ${signal}`,
        );
        done();
      }),
    );
    this.record.add(`${this.node} process started, pid ${child.pid}`);
  }

  /** Starts the process, and waits until it says that it is ready. */
  async start(bootstrap = true) {
    this.launch(bootstrap);
    await waitUntil(() => this.isReady(), 10_000, `${this.node} ready`);
    this.record.add(`${this.node} ready`);
  }

  async isReady() {
    const {status} = await call({
      host: this.host,
      port: this.ports[1],
      path: '/-/ready',
      method: 'GET',
      waitMs: 500,
    });
    return status === 200;
  }

  signal(name) {
    this.record.add(`${this.node} gets ${name}`);
    this.child.kill(name);
  }

  get isRunning() {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Ends the process if it runs. */
  async stop() {
    if (this.isRunning) {
      this.child.kill('SIGKILL');
      await this.hasEnded;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Creates gates whose ports are free. */
export async function createGates(record, store, count = 1) {
  const hosts = [];
  for (let i = 0; i < count; i++) hosts.push(await pickHost());
  const base = 20_000 + Math.floor(Math.random() * 10_000);
  const ports = [base, base + 1, base + 2, base + 10];
  for (const host of hosts)
    for (const port of ports)
      if (!(await isPortFree(host, port)))
        throw new CannotRun(`port ${port} of ${host} is taken`);
  return hosts.map(
    (host, i) =>
      new Gate(record, {
        node: `front-fukuoka-a-${i + 1}`,
        host,
        ports,
        seeds: hosts.slice(0, 3),
        store: store.address,
      }),
  );
}

let lastId = 0;

/** Returns an id for one client attempt. */
export function createId() {
  return `${Date.now().toString(16)}${(++lastId).toString(16).padStart(5, '0')}`;
}

/** Renders a client's request. */
export function renderRequest({
  method = 'POST',
  path,
  id,
  deadlineMs = 10_000,
  tokens,
  body = '',
  fields = [],
}) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: site.example',
    `X-Nutmeggauge-Request-Id: ${id}`,
    `X-Nutmeggauge-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Bearer ${KEY}`,
  ];
  if (tokens !== undefined)
    lines.push(
      'X-Nutmeggauge-Model: m',
      `X-Nutmeggauge-Token-Usage: ${tokens}`,
      `X-Nutmeggauge-Prompt-Prefix: ${id.slice(-8)}:${tokens.split(',')[0]}`,
    );
  lines.push(...fields);
  if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
 * Reads answers on one channel. Tells how an answer ended: `whole` by its length or
 * last chunk, `closed` in order or `reset` before or without one.
 */
export class Channel {
  constructor({host, port}) {
    this.socket = connect({host, port, noDelay: true, allowHalfOpen: true});
    this.bytes = Buffer.alloc(0);
    this.onBytes = () => undefined;
    this.isClosed = false;
    this.wasReset = false;
    this.socket.on('data', part => {
      this.bytes = Buffer.concat([this.bytes, part]);
      this.onBytes();
    });
    this.socket.on('error', () => (this.wasReset = true));
    this.socket.on('close', () => {
      this.isClosed = true;
      this.onBytes();
    });
    // Node.js may report a reset that it finds together with bytes as an orderly end.
    // A write of no bytes then fails, and sends nothing otherwise.
    this.socket.on('end', () => {
      this.socket.write('');
      setImmediate(() => {
        this.wasReset ||= this.socket.errored !== null;
        this.hasEnd = true;
        this.onBytes();
        this.socket.end();
      });
    });
  }

  send(text) {
    this.socket.write(text);
  }

  /** Reads one answer; resolves once it has ended, or after `waitMs`. */
  read(waitMs) {
    return new Promise(done => {
      const finish = result => {
        clearTimeout(timer);
        this.onBytes = () => undefined;
        done(result);
      };
      const timer = setTimeout(
        () => finish({...this.parse(), end: 'timeout'}),
        waitMs,
      );
      this.onBytes = () => {
        const answer = this.parse();
        if (answer?.end !== undefined) {
          this.bytes = answer.rest;
          return finish(answer);
        }
        if (this.isClosed || this.hasEnd)
          finish({
            ...answer,
            end: this.wasReset ? 'reset' : 'closed',
          });
      };
      this.onBytes();
    });
  }

  /** Parses what has arrived; `end` is set if the answer is whole. */
  parse() {
    const headEnd = this.bytes.indexOf('\r\n\r\n');
    if (headEnd < 0) return {};
    const [first, ...lines] = this.bytes
      .toString('latin1', 0, headEnd)
      .split('\r\n');
    const status = Number(first.split(' ')[1]);
    const headers = {};
    for (const line of lines) {
      const at = line.indexOf(':');
      headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
    }
    const rest = this.bytes.subarray(headEnd + 4);
    if (headers['transfer-encoding'] === 'chunked')
      return {status, headers, ...parseChunks(rest)};
    const length = headers['content-length'];
    if (length === undefined)
      return {status, headers, body: rest, framing: 'none'};
    if (rest.length < Number(length))
      return {status, headers, body: rest, framing: 'length'};
    return {
      status,
      headers,
      framing: 'length',
      body: rest.subarray(0, Number(length)),
      rest: rest.subarray(Number(length)),
      end: 'whole',
    };
  }

  close() {
    this.socket.destroy();
  }
}

function parseChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) break;
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const begin = lineEnd + 2;
    if (bytes.length < begin + size + 2) {
      parts.push(bytes.subarray(begin, Math.min(bytes.length, begin + size)));
      break;
    }
    if (size === 0)
      return {
        framing: 'chunked',
        body: Buffer.concat(parts),
        rest: bytes.subarray(begin + 2),
        end: 'whole',
      };
    parts.push(bytes.subarray(begin, begin + size));
    at = begin + size + 2;
  }
  return {framing: 'chunked', body: Buffer.concat(parts)};
}

/** Sends one request on a channel of its own, and reads its answer. */
export async function call({host, port, waitMs = 15_000, text, path, method}) {
  const channel = new Channel({host, port});
  channel.send(
    text ?? `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`,
  );
  const answer = await channel.read(waitMs);
  channel.close();
  return answer;
}

/** Starts a stand-in of a server; `serve(req, res)` answers. */
export async function startServer(serve) {
  const server = createHttpServer((req, res) => {
    res.on('error', () => undefined);
    const parts = [];
    req.on('error', () => undefined);
    req.on('data', part => parts.push(part));
    req.on('end', () => {
      if (req.url === '/-/report')
        return answerJson(res, {
          stage: 'both',
          models: [{name: 'm', version: 1, adapters: []}],
          busy: false,
          sequence: 0,
          queued: 0,
          running: 0,
          kvUsed: 0,
          kvTotal: 315000,
          handles: 0,
          pace: 1,
        });
      if (req.url === '/-/order') return answerJson(res, {free: 300000});
      serve(req, res, Buffer.concat(parts));
    });
  });
  await new Promise(done => server.listen(0, '127.0.0.1', done));
  const address = `127.0.0.1:${server.address().port}`;
  return {
    server,
    address,
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function answerJson(res, body) {
  const text = JSON.stringify(body);
  res.writeHead(200, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Fields of an answer that name its request. */
export function buildProof(id) {
  return {
    'X-Nutmeggauge-Request-Id': id,
    'X-Nutmeggauge-Response-Signature': `3e1b.07.5a2.600.0.${id}`,
  };
}

/**
 * Runs a case: `run(record, parts)` returns what broke the rule, or nothing. Exits
 * with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
export async function runCase(folder, run, limitMs = 110_000) {
  const record = new Record(folder);
  const parts = [];
  const stopAll = async () => {
    for (const part of parts.reverse()) await part.stop();
  };
  // An error of a stand-in, or the end of the script, must leave no process behind.
  const giveUp = reason => {
    record.add(`could not run: ${reason?.stack ?? reason}`);
    for (const part of parts) part.child?.kill('SIGKILL');
    process.exit(2);
  };
  process.on('uncaughtException', giveUp);
  process.on('unhandledRejection', giveUp);
  for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.on(name, () => giveUp(name));
  let status = 2;
  let timer;
  const limit = new Promise((_, reject) => {
    timer = setTimeout(
      () => reject(new CannotRun('the case took too long')),
      limitMs,
    );
  });
  try {
    const broken = await Promise.race([run(record, parts), limit]);
    status = broken ? 1 : 0;
    record.add(broken ? `RULE BROKEN: ${broken}` : 'the rule held');
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  await stopAll();
  process.exit(status);
}
