import {spawnSync} from 'node:child_process';
import {tmpdir} from 'node:os';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {
  buildEnded,
  buildLine,
  writeLog,
  writeTestFile,
} from '../test/gate-lines.js';

const CLI_BIN = fileURLToPath(new URL('../bin.js', import.meta.url));

/** Longest run of a command that does nothing, in ms. */
const RUN_LIMIT_MS = 30_000;

function runCommand(words: readonly string[], cwd?: string) {
  return spawnSync(process.execPath, [CLI_BIN, ...words], {
    cwd,
    encoding: 'utf8',
    timeout: RUN_LIMIT_MS,
  });
}

/** Checks that a command ends with `status` and one line that says `what`. */
function checkOneLine(
  words: readonly string[],
  status: number,
  what: string,
): void {
  const result = runCommand(words);
  expect({words, status: result.status}).toEqual({words, status});
  expect(result.stderr).toInclude(what);
  expect(result.stderr.startsWith('nutmeggauge: ')).toEqual(true);
  expect(result.stderr.trimEnd().split('\n').length).toEqual(1);
  expect(result.stdout).toEqual('');
}

const LOG = writeLog([buildLine(0, 'gate_started'), buildEnded(500, 'known')]);

describe('explain of an unknown request', () => {
  it('says so and ends with 1', () => {
    // Guards against an empty answer for a mistyped id.
    checkOneLine(['explain', 'unknown', LOG], 1, 'the request unknown');
  });

  it('prints a known one and ends with 0', () => {
    const result = runCommand(['explain', 'known', LOG]);
    expect(result.status).toEqual(0);
    expect(result.stdout).toInclude('request_ended');
  });
});

describe('the command line', () => {
  it('shows its help for a command too', () => {
    // Guards against refusing `losses --help` as an unknown flag.
    const {status, stdout} = runCommand(['losses', '--help']);
    expect(status).toEqual(0);
    expect(stdout).toInclude('--objectives');
  });

  it('works from any folder', () => {
    // Guards against a command that needs a deploy file which it does not use.
    const {status} = runCommand(['explain', 'known', LOG], tmpdir());
    expect(status).toEqual(0);
  });
});

describe('bad words on the command line', () => {
  // Guards against a stack trace, or a value that nobody gave.
  const cases: ReadonlyArray<readonly [string, readonly string[], string]> = [
    ['an unknown flag', ['soak', '--sede', '4'], 'unknown flag --sede'],
    ['an unknown short flag', ['demo', '-x'], 'unknown flag -x'],
    ['no number', ['soak', '--seed', 'four'], '--seed needs a number'],
    ['no value', ['losses', LOG, '--json'], '--json needs a value'],
    ['a flag set twice', ['soak', '--seed=1', '--seed=2'], '--seed'],
    ['an unknown policy', ['demo', '--routing', 'best'], 'best'],
    ['an unknown command', ['lossses'], 'unknown command lossses'],
    ['an unknown stand-in', ['standin', 'queue'], 'queue'],
    ['no experiment', ['bench'], 'needs an experiment file'],
    ['a missing experiment', ['bench', 'nowhere.yaml'], 'nowhere.yaml'],
    ['no request', ['explain'], 'needs the id of a request'],
    ['no log', ['explain', 'known'], 'no log file named'],
    ['a missing log', ['timeline', 'nowhere.log'], 'nowhere.log'],
    ['a folder without logs', ['timeline', 'docs'], 'no .log file in docs'],
    ['no figures', ['capacity', 'nowhere'], 'nowhere/measured.json'],
    ['no log of a gate', ['losses', 'README.md'], 'no line of a gate'],
    ['no log for losses', ['losses'], 'no log file named'],
  ];
  for (const [name, words, what] of cases)
    it(`${name}: one line and status 2`, () => checkOneLine(words, 2, what));

  it('a bad experiment file: one line and status 2', () => {
    const bad = writeTestFile('bad.yaml', 'name: x\nload: {ratePerSecond: no}');
    checkOneLine(['bench', bad], 2, 'load.ratePerSecond');
    const noYaml = writeTestFile('no.yaml', 'name: [x\nload: }');
    checkOneLine(['bench', noYaml], 2, 'not valid YAML');
    checkOneLine(['bench', 'experiments'], 2, 'experiments');
  });

  it('an asked request that no log names: one line and status 1', () => {
    checkOneLine(['losses', LOG, '--request', 'unknown'], 1, 'unknown');
  });
});
