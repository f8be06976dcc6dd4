/**
 * Measures what the start of a bundled gate costs: processor time from the start
 * of the process until it listens, until its first answer, and until it has
 * answered a number of requests. Needs the compiled packages and the bundle.
 *
 * Usage: node scripts/measure-start.mjs [starts] [requests]
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {SmallFleet, readGateArgs, renderSettings} from '../platform/dist/index.js';

const HOST = '127.0.0.1';
const INGRESS_PORT = 24_700;

/** Requests that are open at the same time. */
const CONCURRENCY = 4;

const [starts = 9, requests = 500] = process.argv.slice(2).map(Number);

/** Reads the processor time of all threads of a process, in ms. */
function readCpuMs(pid) {
  const tasks = readdirSync(`/proc/${pid}/task`);
  const sumNs = tasks.reduce((sum, task) => {
    const stat = readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8');
    return sum + Number(stat.split(' ')[0]);
  }, 0);
  return sumNs / 1e6;
}

async function waitForStart(gate) {
  for await (const line of createInterface({input: gate.stdout}))
    if (line.includes('"gate_started"')) break;
  gate.stdout.resume();
}

async function callUntil(fleet, address, count) {
  let left = count;
  const callInTurn = async () => {
    while (left-- > 0) await fleet.callGate(address);
  };
  await Promise.all(Array.from({length: CONCURRENCY}, callInTurn));
}

/** Starts a gate once; returns its processor times in ms. */
async function measureStart(fleet, settingsPath) {
  const gate = spawn(process.execPath, readGateArgs('deploy/system.toml'), {
    stdio: ['ignore', 'pipe', 'inherit'],
    env: {...process.env, NUTMEGGAUGE_CONFIG: settingsPath},
  });
  const address = {host: HOST, port: INGRESS_PORT};
  await waitForStart(gate);
  const listensMs = readCpuMs(gate.pid);
  while ((await fleet.callGate(address)) !== 200) await sleep(5);
  const answersMs = readCpuMs(gate.pid);
  await callUntil(fleet, address, requests);
  const allMs = readCpuMs(gate.pid);
  gate.kill('SIGKILL');
  await once(gate, 'exit');
  return [listensMs, answersMs, allMs];
}

function findMedian(values) {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-'));
const settingsPath = join(folder, 'settings.toml');
const fleet = new SmallFleet();
writeFileSync(
  settingsPath,
  renderSettings({
    node: 'measured',
    host: HOST,
    ingressPort: INGRESS_PORT,
    readyPort: INGRESS_PORT + 1,
    peerPort: INGRESS_PORT + 2,
    store: await fleet.start(),
    seedHosts: [],
  }),
);
const measured = [];
for (let i = 0; i < starts; i++)
  measured.push(await measureStart(fleet, settingsPath));
await fleet.stop();
rmSync(folder, {recursive: true});
const [listens, answers, all] = [0, 1, 2].map(step =>
  findMedian(measured.map(values => values[step])).toFixed(0),
);
console.log(
  `${listens} ms until the gate listens, ${answers} ms until its first answer, ` +
    `${all} ms after ${requests} requests (processor time, medians of ${starts})`,
);
