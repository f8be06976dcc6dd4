import {spawnSync} from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';

/** Folder and command name of each package with a command. */
const COMMANDS = [
  ['packages/nutmeggauge', 'nutmeggauge'],
  ['packages/gate', 'nutmeggauge-gate'],
  ['packages/agent', 'nutmeggauge-agent'],
] as const;

/** Timeout of a command that only prints help or an error, in ms. */
const COMMAND_TIMEOUT_MS = 30_000;

function findLauncher(folder: string, name: string): string {
  const {bin} = JSON.parse(
    readFileSync(join(folder, 'package.json'), 'utf8'),
  ) as {readonly bin: Readonly<Record<string, string>>};
  return join(folder, bin[name]);
}

describe('launchers of the package commands', () => {
  for (const [folder, name] of COMMANDS) {
    it(`${name} runs from an executable file in the repository outside dist`, () => {
      // Guards against linking a command to a file that only the build creates.
      const launcher = findLauncher(folder, name);
      expect(launcher.split('/').includes('dist')).toEqual(false);
      expect((statSync(launcher).mode & 0o111) !== 0).toEqual(true);
      const result = spawnSync(launcher, ['--help'], {
        encoding: 'utf8',
        timeout: COMMAND_TIMEOUT_MS,
      });
      expect(result.status).toEqual(0);
      expect(result.stdout).toInclude(`$ ${name} `);
    });

    it(`${name} reports a missing build and exits with status 2`, () => {
      const clone = mkdtempSync(join(tmpdir(), 'unbuilt-'));
      mkdirSync(join(clone, 'bin'));
      const launcher = join(clone, 'bin', `${name}.mjs`);
      copyFileSync(findLauncher(folder, name), launcher);
      const result = spawnSync(process.execPath, [launcher, '--help'], {
        encoding: 'utf8',
        timeout: COMMAND_TIMEOUT_MS,
      });
      rmSync(clone, {recursive: true});
      expect(result.status).toEqual(2);
      expect(result.stderr).toEqual(
        `${name}: not built yet; run npx tsc -b first\n`,
      );
    });
  }
});

describe('launchers of the gate and agent commands', () => {
  for (const [folder, name] of COMMANDS.slice(1))
    it(`${name} survives a SIGHUP that arrives while the command is loading`, () => {
      // Guards against a SIGHUP that ends a process before its handler exists.
      const copy = mkdtempSync(join(tmpdir(), 'loading-'));
      mkdirSync(join(copy, 'bin'));
      mkdirSync(join(copy, 'dist'));
      const launcher = join(copy, 'bin', `${name}.mjs`);
      copyFileSync(findLauncher(folder, name), launcher);
      writeFileSync(
        join(copy, 'dist', 'bin.js'),
        "process.kill(process.pid, 'SIGHUP'); setImmediate(() => console.log('alive'));",
      );
      const result = spawnSync(process.execPath, [launcher], {
        encoding: 'utf8',
        timeout: COMMAND_TIMEOUT_MS,
      });
      rmSync(copy, {recursive: true});
      expect(result.stdout).toEqual('alive\n');
    });
});

/** Invalid arguments of the gate or agent command, and the expected error. */
const INVALID_ARGUMENTS: ReadonlyArray<readonly [readonly string[], string]> = [
  [[], '--config needs the path of a settings file'],
  [['--config'], '--config needs the path of a settings file'],
  [['--config', 'a', '--config', 'b'], 'config'],
  [['--confg', 'a'], 'unknown flag --confg'],
  [['--config', 'a', 'b'], 'unknown word b'],
  [['--config', '/no/such/file.yaml'], '/no/such/file.yaml'],
];

describe('gate and agent commands with invalid arguments', () => {
  for (const [folder, name] of COMMANDS.slice(1)) {
    it(`${name} reports the error in one line and exits with status 2`, () => {
      // Guards against flags that are ignored and errors shown as stack traces.
      for (const [cliArgs, text] of INVALID_ARGUMENTS) {
        const result = spawnSync(findLauncher(folder, name), cliArgs, {
          encoding: 'utf8',
          timeout: COMMAND_TIMEOUT_MS,
        });
        expect(result.status).toEqual(2);
        expect(result.stderr.trimEnd().split('\n').length).toEqual(1);
        expect(result.stderr).toInclude(text);
      }
    });
  }
});
