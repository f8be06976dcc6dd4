import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {after, describe, it} from 'node:test';
import {expect} from 'earl';

const FILE = 'packages/a/dist/b.test.js';
const LIST_ENTRY = `${FILE}: rejects an empty body; issue 1\n`;

/** Renders a failed test in the TAP output of Node's test runner. */
function renderFailure(name: string, failureType = 'testCodeFailure'): string {
  return [
    `    not ok 1 - ${name}`,
    '      ---',
    `      location: '${resolve(FILE)}:9:5'`,
    `      failureType: '${failureType}'`,
    '      ...',
    '',
  ].join('\n');
}

describe('check of failures against KNOWN-RED.txt', () => {
  const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-red-'));
  after(() => rmSync(folder, {recursive: true}));

  function checkReport(report: string, list: string) {
    const paths = [join(folder, 'report'), join(folder, 'list')];
    writeFileSync(paths[0], report);
    writeFileSync(paths[1], list);
    const {status, stdout} = spawnSync(
      process.execPath,
      ['scripts/check-known-red.mjs', ...paths],
      {encoding: 'utf8'},
    );
    return {status, stdout};
  }

  it('accepts a run whose only failed test is listed, and prints the entry', () => {
    const report =
      renderFailure('rejects an empty body') +
      renderFailure('the enclosing suite', 'subtestsFailed');
    expect(checkReport(report, LIST_ENTRY)).toEqual({
      status: 0,
      stdout: `known red: ${LIST_ENTRY}`,
    });
  });

  it('rejects a run in which an unlisted test of the same file failed too', () => {
    // Guards against a new failure hidden by a listed one, when the name of the
    // listed test is a prefix of the other name.
    const report =
      renderFailure('rejects an empty body') +
      renderFailure('rejects an empty body too');
    const {status, stdout} = checkReport(report, LIST_ENTRY);
    expect(status).toEqual(1);
    expect(stdout).toInclude(`red: ${FILE}: rejects an empty body too\n`);
  });

  it('rejects a failed run whose report contains no failed test', () => {
    expect(checkReport('1..3\n', LIST_ENTRY).status).toEqual(1);
  });
});
