import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {expect} from 'earl';

const spec = fileURLToPath(
  new URL('../../../../spec/at-most-once.pml', import.meta.url),
);

/** Runs spin's exhaustive safety check; returns the error count and the report. */
function checkSpec(defines: readonly string[]): {
  errors: number;
  report: string;
} {
  const dir = mkdtempSync(join(tmpdir(), 'ng-spin-'));
  copyFileSync(spec, join(dir, 'model.pml'));
  execFileSync('spin', ['-a', ...defines, 'model.pml'], {cwd: dir});
  execFileSync('gcc', ['-O2', '-DSAFETY', '-o', 'pan', 'pan.c'], {cwd: dir});
  let report: string;
  try {
    report = execFileSync('./pan', ['-m100000'], {cwd: dir, encoding: 'utf8'});
  } catch (error) {
    report = String((error as {stdout?: string}).stdout ?? '');
  }
  const errors = Number(/errors: (\d+)/.exec(report)?.[1] ?? -1);
  return {errors, report};
}

describe('model check of the core protocol (spin)', () => {
  it('finds no double run and no false not-run in any interleaving', () => {
    const {errors, report} = checkSpec([]);
    expect(errors).toEqual(0);
    expect(report).toInclude('assertion violations');
  });

  it('finds the double run when a keyed request may move to another agent after not-run', () => {
    // The mutation is the rule the gate had before: the caller's first call
    // is moved off its home agent and runs elsewhere; the retry runs at home.
    const {errors} = checkSpec(['-DKEYED_RETRY']);
    expect(errors).toEqual(1);
  });
});
