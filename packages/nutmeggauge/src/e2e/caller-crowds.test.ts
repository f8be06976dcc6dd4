import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {buildLoopbackHost, readPort} from '@nutmeggauge/core';
import {CrowdCaller} from '@nutmeggauge/platform';
import {stringify as stringifyYaml} from 'yaml';
import {TEST_KEY, startStack, waitUntil} from '../test/stack.js';
import type {ChildProcess} from 'node:child_process';
import type {CrowdRequest} from '@nutmeggauge/platform';
import type {Stack} from '../test/stack.js';

/** Memory that the settings grant the gate, in MiB. */
const MEMORY_MB = 250;

/** Body of a caller of the crowd, in bytes. */
const BODY_BYTES = 16_000_000;

const CALLERS = 40;

/** Longest wait for the gate to start, in ms. */
const START_MS = 15_000;

const GATE_BIN = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/gate')),
);

const ORDER = JSON.stringify({sku: 'kit'});

function renderHead(field: string): string {
  return [
    'POST /v1/services/orders/place-order HTTP/1.1',
    'Host: site',
    `Authorization: Bearer ${TEST_KEY}`,
    field,
    '',
    '',
  ].join('\r\n');
}

const LENGTH = `Content-Length: ${BODY_BYTES}`;
const CHUNKED = 'Transfer-Encoding: chunked';

const CROWDS: Readonly<Record<string, CrowdRequest>> = {
  'unfinished bodies with a length': {
    start: renderHead(LENGTH),
    piece: 'a'.repeat(1000),
    count: BODY_BYTES / 1000 - 1,
  },
  'unfinished bodies in chunks of 64 KiB': {
    start: renderHead(CHUNKED),
    piece: `10000\r\n${'a'.repeat(65_536)}\r\n`,
    count: Math.floor(BODY_BYTES / 65_536),
  },
  'announced bodies far over the limit that are sent on': {
    start: renderHead('Content-Length: 1000000000000'),
    piece: 'a'.repeat(65_536),
    count: 1600,
  },
};

/** Gate process that uses the targets of a stack. */
class GateProcess {
  private readonly folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-crowd-'));
  readonly host = buildLoopbackHost(0);
  private output = '';
  private readonly child: ChildProcess;

  constructor(configUrl: string) {
    const settings = join(this.folder, 'gate.yaml');
    writeFileSync(
      settings,
      stringifyYaml({
        id: 'gate-c',
        zone: 'az-1',
        listen: {host: this.host, port: 0},
        configService: {url: configUrl, waitMs: 2000},
        memoryMb: MEMORY_MB,
      }),
    );
    this.child = spawn(process.execPath, [GATE_BIN, '--config', settings], {
      env: {...process.env, NUTMEGGAUGE_LOG: 'info'},
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child.stderr?.on('data', part => (this.output += String(part)));
  }

  /** Port for callers; 0 until the gate listens. */
  get port(): number {
    return Number(
      /"event":"gate_listening".*?"port":(\d+)/.exec(this.output)?.[1] ?? 0,
    );
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  get peakMb(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1024;
  }

  /** Places an order; resolves with the status. */
  async placeOrder(): Promise<number> {
    const caller = new CrowdCaller(
      {host: this.host, port: this.port},
      {
        start: renderHead(
          `Content-Length: ${ORDER.length}\r\nConnection: close`,
        ),
        end: ORDER,
      },
    );
    await caller.closed;
    return caller.statuses[0] ?? 0;
  }

  close(): void {
    this.child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true});
  }
}

async function startGate(stack: Stack): Promise<GateProcess> {
  const gate = new GateProcess(
    `http://127.0.0.1:${readPort(stack.config.server)}`,
  );
  await waitUntil(() => gate.port > 0, START_MS);
  await waitUntil(async () => (await gate.placeOrder()) === 200, START_MS);
  return gate;
}

describe('memory and life of a gate with agents beside a crowd with', () => {
  for (const [name, request] of Object.entries(CROWDS))
    it(name, async t => {
      // Guards against a process that its callers end, with all that it serves.
      const stack = await startStack();
      let gate: GateProcess | undefined;
      const callers: CrowdCaller[] = [];
      try {
        gate = await startGate(stack);
        const {host, port} = gate;
        for (let i = 0; i < CALLERS; i++)
          callers.push(new CrowdCaller({host, port}, request));
        await Promise.all(callers.map(({sent}) => sent));
        await gate.placeOrder();
        for (const caller of callers) caller.close();
        const status = await gate.placeOrder();
        const peakMb = gate.isRunning ? Math.round(gate.peakMb) : NaN;
        t.diagnostic(`peak ${peakMb} of ${MEMORY_MB} MiB, then ${status}`);
        expect(gate.isRunning).toEqual(true);
        expect(peakMb < MEMORY_MB).toEqual(true);
        expect(status).toEqual(200);
      } finally {
        for (const caller of callers) caller.close();
        gate?.close();
        await stack.close();
      }
    });
});
