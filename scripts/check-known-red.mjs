/**
 * Tells whether every failure of a test run is listed in KNOWN-RED.txt, and
 * prints the entries that it passes over. An entry of a test begins with its
 * file, a colon and its name: `packages/a/dist/b.test.js: name of the test;`.
 *
 * Usage: node scripts/check-known-red.mjs <report of node --test> <list>
 */
import {readFileSync} from 'node:fs';
import {relative} from 'node:path';

/** Type of a failure that only says that a test inside has failed. */
const PARENT_FAILURE = 'subtestsFailed';

/** Finds the failed tests in TAP output, as `file: name`. */
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
