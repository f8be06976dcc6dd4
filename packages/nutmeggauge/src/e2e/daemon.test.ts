import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {openListener, waitMs} from '@nutmeggauge/core';
import type {ChildProcess} from 'node:child_process';

const BINARIES = ['gate', 'agent'] as const;

/** Drain notice of the gate and thus the shortest drain, in ms. */
const DRAIN_NOTICE_MS = 400;

const SETTINGS: Readonly<Record<(typeof BINARIES)[number], string>> = {
  gate: `
id: gate-d
zone: az-1
listen: {host: 127.0.0.1, port: 0}
configService: {url: 'http://127.0.0.1:9'}
drainNoticeMs: ${DRAIN_NOTICE_MS}
`,
  agent: `
id: agent-d
zone: az-1
listen: {host: 127.0.0.1, port: 0}
target: {kind: plain, url: 'http://127.0.0.1:9'}
`,
};

/** Exit status of a process and its output on stderr. */
interface ExitResult {
  readonly status: number | null;
  readonly output: string;
}

function startBinary(
  name: (typeof BINARIES)[number],
  settings: string,
): ChildProcess {
  const bin = fileURLToPath(
    new URL('bin.js', import.meta.resolve(`@nutmeggauge/${name}`)),
  );
  return spawn(process.execPath, [bin, '--config', settings], {
    env: {...process.env, NUTMEGGAUGE_LOG: 'info'},
    stdio: ['ignore', 'ignore', 'pipe'],
  });
}

describe('gate and agent binaries', () => {
  const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-daemon-'));
  before(() => {
    for (const name of BINARIES)
      writeFileSync(join(folder, `${name}.yaml`), SETTINGS[name]);
  });
  after(() => rmSync(folder, {recursive: true}));

  /** Starts a binary, calls `act` once it listens, and waits for its exit. */
  async function run(
    name: (typeof BINARIES)[number],
    act: (child: ChildProcess) => void | Promise<void>,
  ): Promise<ExitResult> {
    const child = startBinary(name, join(folder, `${name}.yaml`));
    let output = '';
    const listening = new Promise<void>(resolve =>
      child.stderr?.on('data', chunk => {
        output += String(chunk);
        if (output.includes('_listening')) resolve();
      }),
    );
    const exited = once(child, 'exit');
    await listening;
    // The signal handlers are registered after the listening event is logged.
    await waitMs(50);
    await act(child);
    const [status] = (await exited) as [number | null];
    return {status, output};
  }

  it('exit with status 0 on SIGTERM after the reader of their log has disconnected', async () => {
    // Guards against a process that crashes when its log stream is closed.
    for (const name of BINARIES) {
      const {status} = await run(name, async child => {
        child.stderr?.destroy();
        await waitMs(50);
        child.kill('SIGTERM');
      });
      expect([name, status]).toEqual([name, 0]);
    }
  });

  it('complete the drain when a second SIGTERM or SIGINT arrives', async () => {
    // Guards against a second signal that ends the process during the drain.
    for (const signals of [
      ['SIGTERM', 'SIGTERM'],
      ['SIGTERM', 'SIGINT'],
    ] as const) {
      const {status, output} = await run('gate', async child => {
        child.kill(signals[0]);
        await waitMs(DRAIN_NOTICE_MS / 4);
        child.kill(signals[1]);
      });
      expect(status).toEqual(0);
      expect(output.includes('drain_finished')).toEqual(true);
    }
  });

  it('exit with status 1 when their listen address is in use', async () => {
    // Guards against a process that keeps running without its listener.
    const occupyingServer = createServer();
    const port = await openListener(occupyingServer, {
      host: '127.0.0.1',
      port: 0,
    });
    for (const name of BINARIES) {
      const file = join(folder, `${name}-taken.yaml`);
      writeFileSync(file, SETTINGS[name].replace('port: 0', `port: ${port}`));
      const child = startBinary(name, file);
      let output = '';
      child.stderr?.on('data', chunk => (output += String(chunk)));
      const [status] = (await once(child, 'close')) as [number | null];
      expect([name, status]).toEqual([name, 1]);
      expect(output.includes('EADDRINUSE')).toEqual(true);
    }
    occupyingServer.close();
  });
});
