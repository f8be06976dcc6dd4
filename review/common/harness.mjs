/**
 * Runs the platform's program as a separate process against small stand-ins of
 * the store and of servers, all on loopback addresses.
 */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const KEY = 'key-of-acme';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes what was sent, answered and run to record.txt. */
export class Recorder {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    writeFileSync(path, '');
  }

  add(text) {
    const ms = (performance.now() - this.startedAt).toFixed(0).padStart(6);
    appendFileSync(this.path, `${ms} ${text}\n`);
  }
}

/** The platform's store: items with revisions, range reads and watches. */
export class Store {
  revision = 10;
  items = new Map();
  events = [];
  waiters = new Set();

  async start(host) {
    this.server = createServer((req, res) => this.serve(req, res));
    this.port = await listen(this.server, host);
    return `${host}:${this.port}`;
  }

  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const revision = ++this.revision;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value: Buffer.from(text).toString('base64'), revision, created, lease: 0};
    this.items.set(key, item);
    this.record(item);
  }

  remove(key) {
    this.items.delete(key);
    this.record({key, revision: ++this.revision, deleted: true});
  }

  record(event) {
    this.events.push(event);
    for (const wake of [...this.waiters]) wake();
  }

  serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    if (url.pathname === '/-/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = all.slice(0, 400);
      return this.answer(res, {items, hasMore: all.length > 400, asOf: this.revision});
    }
    if (url.pathname !== '/-/kv-watch') {
      res.writeHead(404).end();
      return;
    }
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const finish = () => {
      clearTimeout(timer);
      this.waiters.delete(finish);
      const events = this.events.filter(
        event => event.revision > after && event.key.startsWith(prefix),
      );
      this.answer(res, {events, asOf: this.revision});
    };
    const timer = setTimeout(finish, waitMs);
    this.waiters.add(finish);
    req.on('close', () => {
      if (!res.writableEnded && res.destroyed) this.waiters.delete(finish);
    });
    if (this.events.some(event => event.revision > after)) finish();
  }

  answer(res, body) {
    if (res.destroyed || res.writableEnded) return;
    const text = JSON.stringify(body);
    res.writeHead(200, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': '1',
    });
    res.end(text);
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Listens on a free port; resolves with the port. */
export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

async function findFreePort(host) {
  const server = createTcpServer();
  const port = await listen(server, host);
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Draws a loopback address, so that the fixed metrics port is free there. */
export function drawLoopbackHost() {
  const draw = () => 1 + Math.floor(Math.random() * 253);
  return `127.${draw()}.${draw()}.${draw()}`;
}

const ENGINE = {
  slots: 11,
  kvCapacityTokens: 315000,
  stride: 51,
  step_ms: 0.85,
  per_seq_ms: 0.006181818181818182,
  context_per_k: 0.00285,
  read_per_s: 177000,
  pairs_per_m: 0.184,
  chunk: 2048,
};

/** A configuration like that of a small deployment. */
export function buildConfig(version, {resumable = true} = {}) {
  const route = {host: 'ficu95.example', priority: 1, public: false, maxAttempts: 2};
  return {
    version,
    routes: [
      {...route, name: 'r-chat', prefix: '/chat/', kind: 'stream', timeoutMs: 10000, goalMs: 300, gapGoalMs: 250, service: 'model', sticky: true, resumable},
      {...route, name: 'r-order', prefix: '/order/', kind: 'unsafe', timeoutMs: 4000, goalMs: 386, service: 'desk', maxAttempts: 1},
      {...route, name: 'r-plan', prefix: '/plan/', kind: 'safe', timeoutMs: 4000, goalMs: 386, service: 'desk'},
    ],
    services: [
      {name: 'model', healthCheckPath: '/health', maxConnections: 364, protocol: 'h1', tls: false, engine: ENGINE},
      {name: 'desk', healthCheckPath: '/health', maxConnections: 110, protocol: 'h1', tls: false},
    ],
    limits: {maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000},
    tenants: [{name: 'acme', apiKeys: [KEY], priority: 1}],
  };
}

/** The entry that a server writes to the store. */
export function buildEntry(service, address, born) {
  return {service, address, zone: 'z-a', version: 'v1', slots: service === 'model' ? 11 : 6, state: 'ready', coldRemainingMs: 0, sequence: 0, born};
}

/** Headers of a client's request. */
export function buildHeaders(id, deadlineMs = 4000, extra = {}) {
  return {
    Host: 'ficu95.example',
    'X-Nutmeggauge-Request-Id': id,
    'X-Nutmeggauge-Deadline-Ms': String(deadlineMs),
    Authorization: `Bearer ${KEY}`,
    ...extra,
  };
}

/** `contactMs` of the sheet, 3,000 ms, and a margin. */
const IN_TOUCH_MS = 4000;

/** Processes of the program, each on a loopback address of its own. */
export class Gate {
  constructor(store, name = 'front-a-1', seeds = [], host = drawLoopbackHost()) {
    Object.assign(this, {store, name, seeds, host});
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.output = '';
  }

  async prepare() {
    this.front = await findFreePort(this.host);
    this.ready = await findFreePort(this.host);
    this.control = await findFreePort(this.host);
    this.internal = await findFreePort(this.host);
  }

  renderSettings() {
    const seeds = this.seeds.map(seed => `"${seed}"`).join(',');
    return `node = "${this.name}"
role = "gate"
machineClass = "front"
serves = ["front","control"]
ip = "${this.host}"
zone = "z-a"
region = "r"
internalPorts = [${this.internal},${this.internal + 15}]
seeds = [${seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
z-a = "r"
[listen]
front = "${this.host}:${this.front}"
ready = "${this.host}:${this.ready}"
control = "${this.host}:${this.control}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 104
[provider]
address = "${this.store}"
form = "read"
`;
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const deploy = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const settings = join(this.folder, 'boot.toml');
    writeFileSync(settings, this.renderSettings());
    this.startedAt = performance.now();
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, HOME: process.env.HOME, NUTMEGGAUGE_CONFIG: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', text => (this.output += text));
    this.child.stderr.on('data', text => (this.output += text));
    this.exited = new Promise(resolve => this.child.once('exit', resolve));
    this.child.once('error', () => undefined);
  }

  /**
   * Waits until the process says that it is ready and has run for longer than
   * `contactMs`, so that its machine is in touch; throws if it isn't ready.
   */
  async waitUntilInTouch() {
    for (let i = 0; i < 100; i++) {
      if ((await readStatus(this.host, this.ready)) === 200) {
        await sleep(Math.max(0, this.startedAt + IN_TOUCH_MS - performance.now()));
        return;
      }
      await sleep(100);
    }
    throw new Error('the gate is not ready after 10 s');
  }

  async stop() {
    if (this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function readStatus(host, port) {
  return new Promise(resolve => {
    const req = request({host, port, path: '/-/ready', agent: false}, res => {
      res.resume();
      resolve(res.statusCode);
    });
    req.setTimeout(1000, () => req.destroy());
    req.once('error', () => resolve(0));
    req.end();
  });
}

/** Servers in processes of their own; what they tell goes into the record. */
export class Servers {
  processes = new Map();
  runs = [];

  constructor(recorder) {
    this.recorder = recorder;
  }

  /** Starts a server; resolves with its address. */
  start(options) {
    const {name, host = '127.0.0.1'} = options;
    const child = spawn(
      process.execPath,
      [join(ROOT, 'review', 'common', 'server.mjs'), JSON.stringify({host, ...options})],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    this.processes.set(name, child);
    return new Promise((resolve, reject) => {
      child.once('error', reject);
      let rest = '';
      child.stdout.on('data', text => {
        const lines = (rest + text).split('\n');
        rest = lines.pop();
        for (const line of lines) {
          const event = JSON.parse(line);
          if (event.event === 'listening') resolve(`${host}:${event.port}`);
          else this.recorder.add(`server ${line}`);
          if (event.event === 'run') this.runs.push(event);
        }
      });
    });
  }

  /** Kills a server. */
  kill(name) {
    this.processes.get(name)?.kill('SIGKILL');
  }

  stop() {
    for (const name of this.processes.keys()) this.kill(name);
  }
}

/**
 * Runs a case and ends the script: 1 if the rule was broken, 0 if it held, 2 if the
 * case couldn't run.
 *
 * @param play - Plays the case; resolves with true if the rule was broken.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  const store = new Store();
  const servers = new Servers(recorder);
  const gates = [];
  let status = 2;
  const watchdog = setTimeout(() => {
    recorder.add('the case took too long');
    end(2);
  }, 100000);
  const end = code => {
    servers.stop();
    for (const gate of gates) gate.child?.kill('SIGKILL');
    process.exit(code);
  };
  try {
    const address = await store.start('127.0.0.1');
    const createGate = async () => {
      const gate = new Gate(address);
      gates.push(gate);
      await gate.prepare();
      return gate;
    };
    recorder.add(`disruption: ${hasTrouble ? 'yes' : 'no (TROUBLE=0)'}`);
    const isBroken = await play({recorder, store, servers, createGate, hasTrouble});
    status = isBroken ? 1 : 0;
  } catch (error) {
    recorder.add(`couldn't run: ${error.stack.replaceAll(ROOT, '.')}`);
  }
  clearTimeout(watchdog);
  recorder.add(['the rule held', 'the rule was broken', "the case couldn't run"][status]);
  for (const gate of gates) await gate.stop();
  end(status);
}

/** Headers of a short prompt. */
export const PROMPT = {
  'X-Nutmeggauge-Model': 'm',
  'X-Nutmeggauge-Token-Usage': '1460,80',
  'X-Nutmeggauge-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};
