import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {createGate, GateSettingsSchema} from '@nutmeggauge/gate';
import {waitMs} from '@nutmeggauge/core';
import {expect} from 'earl';

/** Times from the first handled signal to SIGTERM, in ms. */
const DELAYS_MS = [0, 20, 60, 150, 400, 1000, 2000];

/** Drain notice of the gates in these tests, in ms. */
const NOTICE_MS = 300;

const SETTINGS = {
  id: 'gate-s',
  zone: 'az-1',
  listen: {host: '127.0.0.1', port: 0},
  configService: {url: 'http://127.0.0.1:9'},
  drainNoticeMs: NOTICE_MS,
};

/** Bit of SIGHUP in the mask of the signals that a process handles. */
const SIGHUP_BIT = 1n;

/** Waits until a process handles SIGHUP. */
async function waitForHandler(pid: number): Promise<void> {
  for (;;) {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    if ((BigInt(`0x${mask}`) & SIGHUP_BIT) > 0n) return;
    await waitMs(1);
  }
}

describe('process that starts', () => {
  const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-signal-'));
  after(() => rmSync(folder, {recursive: true}));

  /** Starts a command and returns how it ended, by delay of the signal. */
  async function stopDuringStart(command: string, settings: object) {
    const bin = fileURLToPath(
      new URL(
        `../bin/nutmeggauge-${command}.js`,
        import.meta.resolve(`@nutmeggauge/${command}`),
      ),
    );
    const file = join(folder, `${command}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    const ends: unknown[] = [];
    for (const delayMs of DELAYS_MS) {
      const child = spawn(process.execPath, [bin, '--config', file], {
        stdio: 'ignore',
      });
      const exited = once(child, 'exit');
      await waitForHandler(child.pid as number);
      await waitMs(delayMs);
      child.kill('SIGHUP');
      child.kill('SIGTERM');
      child.kill('SIGTERM');
      ends.push(await exited);
    }
    return ends;
  }

  it('ends with status 0 at a stop of a gate', async () => {
    // Guards against a start that a signal kills before its handlers are there.
    const ends = await stopDuringStart('gate', SETTINGS);
    expect(ends).toEqual(DELAYS_MS.map(() => [0, null]));
  });

  it('ends with status 0 at a stop of an agent', async () => {
    // Guards against a start that a signal kills before its handlers are there.
    const ends = await stopDuringStart('agent', {
      id: 'agent-s',
      zone: 'az-1',
      listen: {host: '127.0.0.1', port: 0},
      target: {kind: 'plain', url: 'http://127.0.0.1:9'},
    });
    expect(ends).toEqual(DELAYS_MS.map(() => [0, null]));
  });
});

describe('gate that stops before it listens', () => {
  it('opens no listener when its start goes on', async () => {
    // Guards against a listener that is opened by a gate that has stopped.
    const gate = createGate(
      GateSettingsSchema.parse({
        ...SETTINGS,
        relay: {listen: {port: 0}},
        admin: {listen: {port: 0}},
        drainNoticeMs: 0,
      }),
    );
    await gate.drain();
    await gate.start();
    const ports = [gate.port, gate.adminPort, gate.relayPort];
    gate.close();
    expect(ports).toEqual([0, 0, 0]);
  });
});
