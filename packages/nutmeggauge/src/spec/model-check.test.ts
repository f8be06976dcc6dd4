import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {expect} from 'earl';

interface SpecRun {
  readonly spec:
    'at-most-once' | 'direct-once' | 'drain' | 'facts-relay' | 'fencing';
  readonly defines?: readonly string[];
  /** Name of the LTL property to check; absent checks the assertions. */
  readonly ltl?: string;
  /** Whatever can go on does so at some time. */
  readonly isFair?: boolean;
}

/** Runs spin's exhaustive check; returns the number of errors. */
function checkSpec({spec, defines = [], ltl, isFair}: SpecRun): number {
  const dir = mkdtempSync(join(tmpdir(), 'ng-spin-'));
  const source = new URL(`../../../../spec/${spec}.pml`, import.meta.url);
  copyFileSync(fileURLToPath(source), join(dir, 'model.pml'));
  execFileSync('spin', ['-a', ...defines, 'model.pml'], {cwd: dir});
  const compile = ltl === undefined ? ['-DSAFETY'] : ['-DNFAIR=4'];
  execFileSync('gcc', ['-O2', ...compile, '-o', 'pan', 'pan.c'], {cwd: dir});
  const fair = isFair ? ['-f'] : [];
  const run = ltl === undefined ? [] : ['-a', ...fair, '-N', ltl];
  let report: string;
  try {
    report = execFileSync('./pan', ['-m100000', ...run], {
      cwd: dir,
      encoding: 'utf8',
    });
  } catch (error) {
    report = String((error as {stdout?: string}).stdout ?? '');
  }
  expect(report).toInclude('Full statespace search');
  return Number(/errors: (\d+)/.exec(report)?.[1] ?? -1);
}

describe('model check of dispatch at most once (spin)', () => {
  it('finds no double run and no false not-run in any interleaving', () => {
    expect(checkSpec({spec: 'at-most-once'})).toEqual(0);
  });

  it('finds the double run when a keyed request may move to another agent after not-run', () => {
    // Mutation: the first call runs away from its home agent, the retry at
    // home.
    const defines = ['-DKEYED_RETRY'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });

  it('finds the double run when the home is chosen among usable targets', () => {
    // Mutation: the home runs the order and dies; the retry finds another home.
    const defines = ['-DHOME_AMONG_USABLE'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });

  it('finds the double run when a restarted agent trusts its empty ledger', () => {
    const defines = ['-DFORGET_RESTART'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });
});

describe('model check of fenced orders (spin)', () => {
  it('an engine that ignores fences ends up at the newest record', () => {
    expect(checkSpec({spec: 'fencing', ltl: 'settles'})).toEqual(0);
  });

  it('an engine that refuses old fences never goes back', () => {
    const defines = ['-DREFUSE'];
    expect(checkSpec({spec: 'fencing', defines, ltl: 'settles'})).toEqual(0);
    expect(checkSpec({spec: 'fencing', defines, ltl: 'refused'})).toEqual(0);
  });

  it('finds the late order that stands for good when agents compare only once', () => {
    // Mutation: the old agent confirms, is suspended, and orders after its
    // replacement.
    const defines = ['-DNO_ROUNDS'];
    expect(checkSpec({spec: 'fencing', defines, ltl: 'settles'})).toEqual(1);
  });
});

describe('model check of a drain (spin)', () => {
  it('cuts off no request and runs none that came late', () => {
    expect(checkSpec({spec: 'drain'})).toEqual(0);
  });

  it('finds the lost request when the agent closes at once', () => {
    expect(checkSpec({spec: 'drain', defines: ['-DCLOSE_AT_ONCE']})).toEqual(1);
  });

  it('finds the late run when a draining agent still takes requests', () => {
    const defines = ['-DTAKE_WHILE_DRAINING'];
    expect(checkSpec({spec: 'drain', defines})).toEqual(1);
  });
});

describe('model check of one request at a direct gate (spin)', () => {
  it('finds no double run and no false not-run, whatever targets do', () => {
    expect(checkSpec({spec: 'direct-once'})).toEqual(0);
  });

  it('finds the double run when a request is sent again after a reset', () => {
    const defines = ['-DRETRY_AFTER_RESET'];
    expect(checkSpec({spec: 'direct-once', defines})).toEqual(1);
  });

  it('finds the false not-run when a reset is taken for a refusal', () => {
    const defines = ['-DPROMISE_AFTER_RESET'];
    expect(checkSpec({spec: 'direct-once', defines})).toEqual(1);
  });
});

const SETTLES: SpecRun = {spec: 'facts-relay', ltl: 'settles', isFair: true};

describe('model check of facts handed between gates (spin)', () => {
  it('takes no gate back and brings the newest to one that is cut off', () => {
    expect(checkSpec({spec: 'facts-relay'})).toEqual(0);
    expect(checkSpec(SETTLES)).toEqual(0);
  });

  it('finds the gate that goes back when it takes whatever comes last', () => {
    const defines = ['-DTRUST_ANY'];
    expect(checkSpec({spec: 'facts-relay', defines})).toEqual(1);
  });

  it('finds the gate that never learns when gates do not hand facts on', () => {
    const defines = ['-DNO_RELAY'];
    expect(checkSpec({...SETTLES, defines})).toEqual(1);
  });

  it('brings both gates to a store that comes back older', () => {
    const defines = ['-DRESTORE'];
    expect(checkSpec({spec: 'facts-relay', defines})).toEqual(0);
    expect(checkSpec({...SETTLES, defines})).toEqual(0);
  });

  it('finds the gate that never learns when it compares revisions alone', () => {
    // Mutation: a revision that was given out again looks known.
    const defines = ['-DRESTORE', '-DIGNORE_ERA'];
    expect(checkSpec({...SETTLES, defines})).toEqual(1);
  });
});
