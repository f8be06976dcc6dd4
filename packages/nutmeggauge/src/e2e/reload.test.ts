import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {request} from 'undici';
import {GateSettingsSchema} from '@nutmeggauge/gate';
import {openListener, readPort, sendJson} from '@nutmeggauge/core';
import {startConfigServiceStandIn} from '@nutmeggauge/standins';
import {findFreePorts} from '../cluster/ports.js';
import {
  TEST_AUTH,
  TEST_KEY,
  postJson,
  startStack,
  waitUntil,
} from '../test/stack.js';
import type {ChildProcess} from 'node:child_process';
import type {ServerResponse} from 'node:http';
import type {ConfigServiceStandIn} from '@nutmeggauge/standins';
import type {Stack} from '../test/stack.js';

/** Longest wait for a process to start or to log, in ms. */
const MAX_WAIT_MS = 30_000;

/** A gate or an agent running from its settings file. */
class ReloadedProcess {
  output = '';
  private readonly child: ChildProcess;

  constructor(
    name: 'gate' | 'agent',
    readonly file: string,
    settings: string,
  ) {
    writeFileSync(file, settings);
    const bin = fileURLToPath(
      new URL('bin.js', import.meta.resolve(`@nutmeggauge/${name}`)),
    );
    this.child = spawn(process.execPath, [bin, '--config', file], {
      env: {...process.env, NUTMEGGAUGE_LOG: 'info'},
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child.stderr?.on('data', chunk => (this.output += String(chunk)));
  }

  /** Waits for a log line of an event and returns its fields. */
  async waitForEvent(event: string): Promise<Record<string, unknown>> {
    let found: string | undefined;
    await waitUntil(() => {
      found = this.output
        .split('\n')
        .slice(0, -1)
        .find(line => line.includes(`"event":"${event}"`));
      return found !== undefined;
    }, MAX_WAIT_MS);
    return JSON.parse(found ?? '{}') as Record<string, unknown>;
  }

  reload(): void {
    this.child.kill('SIGHUP');
  }

  async end(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }
}

describe('gate and agent that receive SIGHUP', () => {
  const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-reload-'));
  /** Responses that the service has not answered yet. */
  let heldResponses: ServerResponse[];
  const service = createServer((req, res) => {
    req.resume();
    heldResponses.push(res);
  });
  let config: ConfigServiceStandIn;
  let gate: ReloadedProcess;
  let agent: ReloadedProcess;
  let gateUrl: string;

  before(() => openListener(service, {host: '127.0.0.1', port: 0}));
  after(() => {
    service.closeAllConnections();
    service.close();
    rmSync(folder, {recursive: true});
  });

  beforeEach(async () => {
    heldResponses = [];
    config = await startConfigServiceStandIn('127.0.0.1', 0);
    const [adminPort] = await findFreePorts(1);
    const configUrl = `http://127.0.0.1:${readPort(config.server)}`;
    const common = `zone: az-1
listen: {host: 127.0.0.1, port: 0}
configService: {url: '${configUrl}'}
`;
    agent = new ReloadedProcess(
      'agent',
      join(folder, 'agent.yaml'),
      `${common}id: plain-1
target: {kind: plain, url: 'http://127.0.0.1:${readPort(service)}'}
ledger: {bootstrap: true}
`,
    );
    gate = new ReloadedProcess(
      'gate',
      join(folder, 'gate.yaml'),
      `${common}id: gate-r
admin: {listen: {port: ${adminPort}}}
`,
    );
    const {port} = await agent.waitForEvent('agent_listening');
    config.publish({
      schemaVersion: 1,
      accounts: [
        {
          id: 'acct-a',
          keys: [TEST_KEY],
          pools: ['orders'],
          ratePerSecond: 1000,
          maxConcurrent: 1000,
        },
      ],
      pools: [
        {
          id: 'orders',
          kind: 'plain',
          targets: [{id: 'plain-1', agent: `127.0.0.1:${port}`, zone: 'az-1'}],
        },
      ],
      rules: [],
    });
    gateUrl = `http://127.0.0.1:${(await gate.waitForEvent('gate_listening')).port}`;
    await waitUntil(async () => {
      const response = await request(
        `http://127.0.0.1:${adminPort}/v1/targets`,
      );
      const {targets} = (await response.body.json()) as {
        targets: ReadonlyArray<{readonly usable: boolean}>;
      };
      return targets.some(target => target.usable);
    }, MAX_WAIT_MS);
  });

  afterEach(async () => {
    await gate.end();
    await agent.end();
    await config.close();
  });

  const placeOrder = () =>
    postJson(`${gateUrl}/v1/services/orders/price`, {sku: 'kit'}, TEST_AUTH);

  it('answer the request in flight and name what needs a restart', async () => {
    // Guards against a SIGHUP that ends a process with its accepted requests.
    const answer = placeOrder();
    await waitUntil(() => heldResponses.length === 1, MAX_WAIT_MS);
    for (const daemon of [gate, agent]) {
      const text = readFileSync(daemon.file, 'utf8').replace('az-1', 'az-2');
      writeFileSync(daemon.file, `${text}drainTimeoutMs: 5000\n`);
      daemon.reload();
      const line = await daemon.waitForEvent('settings_reloaded');
      expect(line['applied']).toEqual(['drainTimeoutMs']);
      expect(line['needRestart']).toEqual(['zone']);
    }
    sendJson(heldResponses[0], 200, {price: 7});
    expect((await answer).status).toEqual(200);
  });

  it('keep serving with the settings in force when the file is invalid', async () => {
    // Guards against a bad settings file that ends a running process.
    for (const daemon of [gate, agent]) {
      appendFileSync(daemon.file, 'drainTimeoutMs: soon\n');
      daemon.reload();
      const line = await daemon.waitForEvent('settings_reload_failed');
      expect(line['code']).toEqual('settings_invalid');
      expect(String(line['reason'])).toInclude('drainTimeoutMs');
    }
    const answer = placeOrder();
    await waitUntil(() => heldResponses.length === 1, MAX_WAIT_MS);
    sendJson(heldResponses[0], 200, {price: 7});
    expect((await answer).status).toEqual(200);
  });
});

describe('gate whose settings are reloaded', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack();
  });
  after(() => stack.close());

  it('admits requests by the new engine speeds', async () => {
    const complete = () =>
      postJson(
        `${stack.gateUrl}/v1/completions`,
        {model: 'chat', prompt: 'd'.repeat(4000), max_tokens: 2},
        {...TEST_AUTH, 'x-deadline-ms': '5000'},
      );
    expect((await complete()).status).toEqual(200);
    stack.gate.applySettings(
      GateSettingsSchema.parse({
        id: 'gate-t',
        zone: 'az-1',
        listen: {port: 0},
        configService: {url: 'http://127.0.0.1:9'},
        estimate: {prefillTokensPerSecond: 1},
      }),
    );
    const refused = await complete();
    expect(refused.status).toEqual(503);
    expect(JSON.stringify(refused)).toInclude('deadline_unreachable');
  });
});
