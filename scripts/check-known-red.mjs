/**
 * Checks that every failed test of a run is listed in KNOWN-RED.txt, and prints
 * each failure with its entry. Exits 0 only if there are failures and all are
 * listed. An entry begins with the test's file and name:
 * `packages/a/dist/b.test.js: name of the test;`.
 *
 * Usage: node scripts/check-known-red.mjs <report of node --test> <list>
 */
import {readFileSync} from 'node:fs';
import {relative} from 'node:path';

/** Failure type of a test that failed only because a subtest failed. */
const PARENT_FAILURE = 'subtestsFailed';

/** Returns the failed tests in TAP output, each as `file: name`. */
function listFailures(report) {
  const failures = [];
  let name;
  let file;
  for (const line of report.split('\n')) {
    const failed = /^\s*not ok \d+ - (.*)$/.exec(line);
    if (failed !== null) [, name] = failed;
    const location = /^\s*location: '(.*):\d+:\d+'$/.exec(line);
    if (location !== null) file = relative(process.cwd(), location[1]);
    const type = /^\s*failureType: '(.*)'$/.exec(line);
    if (type === null || name === undefined) continue;
    if (type[1] !== PARENT_FAILURE) failures.push(`${file}: ${name}`);
    name = undefined;
  }
  return failures;
}

const [reportPath, listPath] = process.argv.slice(2);
const failures = listFailures(readFileSync(reportPath, 'utf8'));
const entries = readFileSync(listPath, 'utf8').split('\n');
let isKnown = failures.length > 0;
for (const failure of failures) {
  const entry = entries.find(line => line.startsWith(`${failure};`));
  if (entry === undefined) isKnown = false;
  console.log(entry === undefined ? `red: ${failure}` : `known red: ${entry}`);
}
process.exit(isKnown ? 0 : 1);
