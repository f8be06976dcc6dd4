/**
 * A driver for tests that starts two processes, suspends the second one and
 * ends in a given way.
 *
 *   node suspending-driver.js FOLDER normal|error|wait
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {waitMs} from '@nutmeggauge/core';
import {startChild} from '../cluster/process.js';

/** Interval between two looks for the file `go`, in ms. */
const POLL_MS = 10;

/** Returns whether a process is stopped by a signal. */
function isStopped(pid: number | undefined): boolean {
  return /\) T /.test(readFileSync(`/proc/${pid}/stat`, 'utf8'));
}

const [folder, ending] = process.argv.slice(2);
const script = join(folder, 'child.cjs');
writeFileSync(
  script,
  `process.on('SIGTERM', () => process.exit(0));
   setInterval(() => undefined, 1000);
   console.error('{"event":"child_listening"}');`,
);
const log = join(folder, 'child.log');
const children = [
  await startChild('child-1', script, [], log),
  await startChild('child-2', script, [], log),
];
children[1].signal('SIGSTOP');
while (!isStopped(children[1].child.pid)) await waitMs(POLL_MS);
writeFileSync(join(folder, 'ready'), '');
if (ending === 'normal') process.exit(0);
if (ending === 'error') throw new Error('driver failed');
while (!existsSync(join(folder, 'go'))) await waitMs(POLL_MS);
for (const child of children) {
  child.signal('SIGCONT');
  child.signal('SIGTERM');
}
const codes = await Promise.all(children.map(child => child.waitForExit()));
writeFileSync(join(folder, 'codes'), JSON.stringify(codes));
