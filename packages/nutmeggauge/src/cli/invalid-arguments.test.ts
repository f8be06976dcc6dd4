import {spawnSync} from 'node:child_process';
import {tmpdir} from 'node:os';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {
  buildRequestEndedLine,
  buildLogLine,
  writeLog,
  writeTestFile,
} from '../test/gate-lines.js';

const CLI_BIN = fileURLToPath(new URL('../bin.js', import.meta.url));

/** Timeout of a command that only reports an error or a log, in ms. */
const COMMAND_TIMEOUT_MS = 30_000;

function runCommand(cliArgs: readonly string[], cwd?: string) {
  return spawnSync(process.execPath, [CLI_BIN, ...cliArgs], {
    cwd,
    encoding: 'utf8',
    timeout: COMMAND_TIMEOUT_MS,
  });
}

/**
 * Checks that a command exits with `status` and prints nothing but one line on
 * stderr that includes `expectedText`.
 */
function checkErrorLine(
  cliArgs: readonly string[],
  status: number,
  expectedText: string,
): void {
  const result = runCommand(cliArgs);
  expect({cliArgs, status: result.status}).toEqual({cliArgs, status});
  expect(result.stderr).toInclude(expectedText);
  expect(result.stderr.startsWith('nutmeggauge: ')).toEqual(true);
  expect(result.stderr.trimEnd().split('\n').length).toEqual(1);
  expect(result.stdout).toEqual('');
}

const LOG_FILE = writeLog([
  buildLogLine(0, 'gate_started'),
  buildRequestEndedLine(500, 'known'),
]);

describe('nutmeggauge explain', () => {
  it('reports an unknown request id in one line and exits with status 1', () => {
    // Guards against empty output for a mistyped request id.
    checkErrorLine(['explain', 'unknown', LOG_FILE], 1, 'the request unknown');
  });

  it('prints the events of a known request and exits with status 0', () => {
    const result = runCommand(['explain', 'known', LOG_FILE]);
    expect(result.status).toEqual(0);
    expect(result.stdout).toInclude('request_ended');
  });
});

describe('nutmeggauge command line', () => {
  it('shows the help when --help follows a command', () => {
    // Guards against reporting the flag of `losses --help` as unknown.
    const {status, stdout} = runCommand(['losses', '--help']);
    expect(status).toEqual(0);
    expect(stdout).toInclude('--objectives');
  });

  it('runs a command in any working directory', () => {
    // Guards against a command that fails outside the repository because it
    // reads a deploy file that it does not need.
    const {status} = runCommand(['explain', 'known', LOG_FILE], tmpdir());
    expect(status).toEqual(0);
  });
});

describe('nutmeggauge command line with invalid arguments', () => {
  // Guards against printing a stack trace, and against running with a value
  // that the user did not give.
  const cases: ReadonlyArray<readonly [string, readonly string[], string]> = [
    ['an unknown flag', ['soak', '--sede', '4'], 'unknown flag --sede'],
    ['an unknown short flag', ['demo', '-x'], 'unknown flag -x'],
    [
      'a flag value that is not a number',
      ['soak', '--seed', 'four'],
      '--seed needs a number',
    ],
    [
      'a flag without a value',
      ['losses', LOG_FILE, '--json'],
      '--json needs a value',
    ],
    ['a flag set twice', ['soak', '--seed=1', '--seed=2'], '--seed'],
    ['an unknown routing policy', ['demo', '--routing', 'best'], 'best'],
    ['an unknown command', ['lossses'], 'unknown command lossses'],
    ['an unknown kind of stand-in', ['standin', 'queue'], 'queue'],
    [
      'a bench command without an experiment file',
      ['bench'],
      'needs an experiment file',
    ],
    [
      'an experiment file that does not exist',
      ['bench', 'nowhere.yaml'],
      'nowhere.yaml',
    ],
    [
      'an explain command without a request id',
      ['explain'],
      'needs the id of a request',
    ],
    [
      'an explain command without a log file',
      ['explain', 'known'],
      'no log file named',
    ],
    [
      'a log file that does not exist',
      ['timeline', 'nowhere.log'],
      'nowhere.log',
    ],
    [
      'a folder without log files',
      ['timeline', 'docs'],
      'no .log file in docs',
    ],
    [
      'a folder without measured.json',
      ['capacity', 'nowhere'],
      'nowhere/measured.json',
    ],
    [
      'a file without gate log lines',
      ['losses', 'README.md'],
      'no line of a gate',
    ],
    ['a losses command without a log file', ['losses'], 'no log file named'],
  ];
  for (const [name, cliArgs, expectedText] of cases)
    it(`reports ${name} in one line and exits with status 2`, () =>
      checkErrorLine(cliArgs, 2, expectedText));

  it('reports an invalid experiment file in one line and exits with status 2', () => {
    const invalidExperiment = writeTestFile(
      'bad.yaml',
      'name: x\nload: {ratePerSecond: no}',
    );
    checkErrorLine(['bench', invalidExperiment], 2, 'load.ratePerSecond');
    const invalidYaml = writeTestFile('no.yaml', 'name: [x\nload: }');
    checkErrorLine(['bench', invalidYaml], 2, 'not valid YAML');
    checkErrorLine(['bench', 'experiments'], 2, 'experiments');
  });

  it('reports a --request id that is not in the log in one line and exits with status 1', () => {
    checkErrorLine(['losses', LOG_FILE, '--request', 'unknown'], 1, 'unknown');
  });
});
