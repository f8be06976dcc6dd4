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
  /**
   * Name of the LTL property to check; if absent, the assertions are checked.
   */
  readonly ltl?: string;
  /**
   * Whether to assume weak fairness: a process that stays executable eventually
   * runs.
   */
  readonly isFair?: boolean;
}

/** Runs spin's exhaustive verification and returns the number of errors. */
function checkSpec({spec, defines = [], ltl, isFair}: SpecRun): number {
  const dir = mkdtempSync(join(tmpdir(), 'ng-spin-'));
  const source = new URL(`../../../../spec/${spec}.pml`, import.meta.url);
  copyFileSync(fileURLToPath(source), join(dir, 'model.pml'));
  execFileSync('spin', ['-a', ...defines, 'model.pml'], {cwd: dir});
  const compileFlags = ltl === undefined ? ['-DSAFETY'] : ['-DNFAIR=4'];
  execFileSync('gcc', ['-O2', ...compileFlags, '-o', 'pan', 'pan.c'], {
    cwd: dir,
  });
  const fairnessFlags = isFair ? ['-f'] : [];
  const run = ltl === undefined ? [] : ['-a', ...fairnessFlags, '-N', ltl];
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

describe('spin model of at-most-once dispatch', () => {
  it('has no double run and no false not-run in any interleaving', () => {
    expect(checkSpec({spec: 'at-most-once'})).toEqual(0);
  });

  it('has a double run if a keyed request is retried at another agent after not-run', () => {
    // Mutation: the first call runs at an agent that is not its home, the retry
    // at the home agent.
    const defines = ['-DKEYED_RETRY'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });

  it('has a double run if the home agent is chosen among usable targets only', () => {
    // Mutation: the home agent runs the order and dies; for the retry another
    // agent is chosen as the home and runs the order again.
    const defines = ['-DHOME_AMONG_USABLE'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });

  it('has a double run if a restarted agent trusts its empty ledger', () => {
    const defines = ['-DFORGET_RESTART'];
    expect(checkSpec({spec: 'at-most-once', defines})).toEqual(1);
  });
});

describe('spin model of fenced orders to an engine', () => {
  it('permanently brings an engine that ignores fences to the newest record', () => {
    expect(checkSpec({spec: 'fencing', ltl: 'settles'})).toEqual(0);
  });

  it('never sets an engine that refuses lower fences back to an older record', () => {
    const defines = ['-DREFUSE'];
    expect(checkSpec({spec: 'fencing', defines, ltl: 'settles'})).toEqual(0);
    expect(checkSpec({spec: 'fencing', defines, ltl: 'refused'})).toEqual(0);
  });

  it('leaves an outdated order in force if agents do not repeat their orders', () => {
    // Mutation: the old agent confirms its record, is suspended, and sends its
    // order after the replacement has sent the newer one.
    const defines = ['-DNO_ROUNDS'];
    expect(checkSpec({spec: 'fencing', defines, ltl: 'settles'})).toEqual(1);
  });
});

describe('spin model of an agent drain', () => {
  it('cuts off no request and runs none that arrived after the drain began', () => {
    expect(checkSpec({spec: 'drain'})).toEqual(0);
  });

  it('loses a request if the agent closes without waiting for open requests', () => {
    expect(checkSpec({spec: 'drain', defines: ['-DCLOSE_AT_ONCE']})).toEqual(1);
  });

  it('runs a late request if a draining agent still accepts requests', () => {
    const defines = ['-DTAKE_WHILE_DRAINING'];
    expect(checkSpec({spec: 'drain', defines})).toEqual(1);
  });
});

describe('spin model of an at-most-once request at a direct gate', () => {
  it('has no double run and no false not-run, whatever the targets do', () => {
    expect(checkSpec({spec: 'direct-once'})).toEqual(0);
  });

  it('has a double run if a request is retried after a connection reset', () => {
    const defines = ['-DRETRY_AFTER_RESET'];
    expect(checkSpec({spec: 'direct-once', defines})).toEqual(1);
  });

  it('has a false not-run if a connection reset is reported as not run', () => {
    const defines = ['-DPROMISE_AFTER_RESET'];
    expect(checkSpec({spec: 'direct-once', defines})).toEqual(1);
  });
});

const SETTLES: SpecRun = {spec: 'facts-relay', ltl: 'settles', isFair: true};

describe('spin model of facts relayed between gates', () => {
  it('sets no gate back to older facts and brings the newest to a gate without the store', () => {
    expect(checkSpec({spec: 'facts-relay'})).toEqual(0);
    expect(checkSpec(SETTLES)).toEqual(0);
  });

  it('sets a gate back to older facts if the gate applies whatever arrives last', () => {
    const defines = ['-DTRUST_ANY'];
    expect(checkSpec({spec: 'facts-relay', defines})).toEqual(1);
  });

  it('leaves a gate without the newest facts if gates do not relay facts', () => {
    const defines = ['-DNO_RELAY'];
    expect(checkSpec({...SETTLES, defines})).toEqual(1);
  });

  it('brings both gates to the facts of a store restored from an older copy', () => {
    const defines = ['-DRESTORE'];
    expect(checkSpec({spec: 'facts-relay', defines})).toEqual(0);
    expect(checkSpec({...SETTLES, defines})).toEqual(0);
  });

  it('leaves a gate without the newest facts if the gate ignores the era of a revision', () => {
    // Mutation: the restored store reuses a revision number, which the gate
    // mistakes for the revision that the gate has applied already.
    const defines = ['-DRESTORE', '-DIGNORE_ERA'];
    expect(checkSpec({...SETTLES, defines})).toEqual(1);
  });
});
