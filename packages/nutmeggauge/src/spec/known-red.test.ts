import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {after, describe, it} from 'node:test';
import {expect} from 'earl';

const FILE = 'packages/a/dist/b.test.js';
const ENTRY = `${FILE}: keeps its word; issue 1\n`;

/** Renders a failed test as node's runner reports it. */
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

describe('list of known failures', () => {
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

  it('passes over a listed test and prints its entry', () => {
    const report =
      renderFailure('keeps its word') +
      renderFailure('the suite around it', 'subtestsFailed');
    expect(checkReport(report, ENTRY)).toEqual({
      status: 0,
      stdout: `known red: ${ENTRY}`,
    });
  });

  it('passes over no other test of the same file', () => {
    // Guards against a new failure that a listed one hides.
    const report =
      renderFailure('keeps its word') + renderFailure('keeps its word too');
    const {status, stdout} = checkReport(report, ENTRY);
    expect(status).toEqual(1);
    expect(stdout).toInclude(`red: ${FILE}: keeps its word too\n`);
  });

  it('passes over no run that failed without a failed test', () => {
    expect(checkReport('1..3\n', ENTRY).status).toEqual(1);
  });
});
