import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {MARK_VARIABLE, listMarkedProcesses} from '../test/marked-processes.js';
import {waitUntil} from '../test/stack.js';
import type {ChildProcess} from 'node:child_process';

const DRIVER = fileURLToPath(
  new URL('../test/suspending-driver.js', import.meta.url),
);

const CLI_BIN = fileURLToPath(new URL('../bin.js', import.meta.url));

/** Longest wait for processes to start or to be gone, in ms. */
const MAX_WAIT_MS = 30_000;

/** Ways in which a driver ends: by itself, or by a signal. */
const DRIVER_ENDINGS = [
  {ending: 'normal'},
  {ending: 'error'},
  {ending: 'wait', signal: 'SIGINT'},
  {ending: 'wait', signal: 'SIGTERM'},
  {ending: 'wait', signal: 'SIGHUP'},
] as const;

/** Commands that start processes, and the signal that ends each. */
const COMMANDS = [
  {cliArgs: ['demo', '--faults'], signal: 'SIGHUP'},
  {cliArgs: ['soak', '--agents', '--gates', '1'], signal: 'SIGINT'},
  {cliArgs: ['soak', '--gates', '1'], signal: 'SIGTERM'},
  {cliArgs: ['soak', '--gates', '1', '--seeds', '2'], signal: 'SIGHUP'},
] as const;

/** Returns the text of all log files below a folder. */
function readLogs(folder: string): string {
  return readdirSync(folder, {encoding: 'utf8', recursive: true})
    .filter(name => name.endsWith('.log'))
    .map(name => readFileSync(join(folder, name), 'utf8'))
    .join('');
}

describe('processes of a driver', () => {
  let folder: string;
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-processes-'));
  });
  afterEach(async () => {
    for (const pid of listMarkedProcesses(folder)) process.kill(pid, 'SIGKILL');
    await waitUntil(() => listMarkedProcesses(folder).length === 0);
    rmSync(folder, {recursive: true});
  });

  function start(nodeArgs: readonly string[]): ChildProcess {
    return spawn(process.execPath, nodeArgs, {
      stdio: ['ignore', 'pipe', 'ignore'],
      env: {...process.env, [MARK_VARIABLE]: folder},
    });
  }

  it('keep running while suspended when the job of their driver loses its shell', async () => {
    // Guards against SIGHUP for a suspended member of an orphaned process group.
    const file = (name: string) => join(folder, name);
    const job = `"${process.execPath}" "${DRIVER}" "${folder}" wait & while [ ! -e "${file('ready')}" ]; do sleep 0.05; done`;
    // With job control, the job's process group is not that of the shell.
    const shell = spawn(
      'bash',
      [
        '-c',
        `set -m; ( ${job} ) & wait $!; touch "${file('go')}"; while [ ! -e "${file('codes')}" ]; do sleep 0.05; done`,
      ],
      {
        stdio: 'ignore',
        detached: true,
        env: {...process.env, [MARK_VARIABLE]: folder},
      },
    );
    await once(shell, 'exit');
    expect(existsSync(file('codes'))).toEqual(true);
    expect(readFileSync(file('codes'), 'utf8')).toEqual('[0,0]');
  });

  for (const {ending, ...how} of DRIVER_ENDINGS) {
    const signal = 'signal' in how ? how.signal : undefined;
    it(`are gone, also a suspended one, after the driver's end: ${signal ?? ending}`, async () => {
      // Guards against processes that outlive their driver.
      const driver = start([DRIVER, folder, ending]);
      const exited = once(driver, 'exit');
      await waitUntil(() => existsSync(join(folder, 'ready')), MAX_WAIT_MS);
      if (signal !== undefined) driver.kill(signal);
      const [, endedBy] = (await exited) as [number | null, string | null];
      expect(endedBy).toEqual(signal ?? null);
      await waitUntil(
        () => listMarkedProcesses(folder).length === 0,
        MAX_WAIT_MS,
      );
    });
  }

  for (const {cliArgs, signal} of COMMANDS)
    it(`are gone after ${signal} to nutmeggauge ${cliArgs.join(' ')}`, async () => {
      // Guards against a command that starts processes in another way.
      const driver = start([CLI_BIN, ...cliArgs, '--run-dir', folder]);
      driver.stdout?.resume();
      const exited = once(driver, 'exit');
      await waitUntil(
        () => /_(listening|started)"/.test(readLogs(folder)),
        MAX_WAIT_MS,
      );
      driver.kill(signal);
      expect((await exited)[1]).toEqual(signal);
      await waitUntil(
        () => listMarkedProcesses(folder).length === 0,
        MAX_WAIT_MS,
      );
    });

  it('fail the demo with their name, code and signal if they end by themselves', async () => {
    // Guards against a verdict that hides a process that ended from outside.
    const driver = start([CLI_BIN, 'demo', '--run-dir', folder]);
    const exited = once(driver, 'exit');
    let output = '';
    driver.stdout?.on('data', chunk => (output += String(chunk)));
    await waitUntil(() => output.includes('sending'), MAX_WAIT_MS);
    const [agentPid] = listMarkedProcesses(folder, 'nutmeggauge-agent');
    process.kill(agentPid, 'SIGKILL');
    expect((await exited)[0]).toEqual(1);
    expect(output).toMatchRegex(
      /agent-[a-z]+-\d+ ended with code null, signal SIGKILL/,
    );
    expect(output).toInclude('lost 0');
  });
});
