import {spawnSync} from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';

/** Packages with a command, and its name. */
const COMMANDS = [
  ['packages/nutmeggauge', 'nutmeggauge'],
  ['packages/gate', 'nutmeggauge-gate'],
  ['packages/agent', 'nutmeggauge-agent'],
] as const;

/** Longest run of a command that does nothing, in ms. */
const RUN_LIMIT_MS = 30_000;

function findLauncher(folder: string, name: string): string {
  const {bin} = JSON.parse(
    readFileSync(join(folder, 'package.json'), 'utf8'),
  ) as {readonly bin: Readonly<Record<string, string>>};
  return join(folder, bin[name]);
}

describe('commands by their names', () => {
  for (const [folder, name] of COMMANDS) {
    it(`${name}: stands in the repository and runs`, () => {
      // Guards against a linked command that exists only after the build.
      const launcher = findLauncher(folder, name);
      expect(launcher.split('/').includes('dist')).toEqual(false);
      expect((statSync(launcher).mode & 0o111) !== 0).toEqual(true);
      const result = spawnSync(launcher, ['--help'], {
        encoding: 'utf8',
        timeout: RUN_LIMIT_MS,
      });
      expect(result.status).toEqual(0);
      expect(result.stdout).toInclude(`$ ${name} `);
    });

    it(`${name}: says when it is not built yet`, () => {
      const clone = mkdtempSync(join(tmpdir(), 'unbuilt-'));
      mkdirSync(join(clone, 'bin'));
      const launcher = join(clone, 'bin', `${name}.mjs`);
      copyFileSync(findLauncher(folder, name), launcher);
      const result = spawnSync(process.execPath, [launcher, '--help'], {
        encoding: 'utf8',
        timeout: RUN_LIMIT_MS,
      });
      rmSync(clone, {recursive: true});
      expect(result.status).toEqual(2);
      expect(result.stderr).toEqual(
        `${name}: not built yet; run npx tsc -b first\n`,
      );
    });
  }
});

/** Invalid words for a daemon, and the error it reports. */
const BAD_WORDS: ReadonlyArray<readonly [readonly string[], string]> = [
  [[], '--config needs the path of a settings file'],
  [['--config'], '--config needs the path of a settings file'],
  [['--config', 'a', '--config', 'b'], 'config'],
  [['--confg', 'a'], 'unknown flag --confg'],
  [['--config', 'a', 'b'], 'unknown word b'],
  [['--config', '/no/such/file.yaml'], '/no/such/file.yaml'],
];

describe('daemons that are started with bad words', () => {
  for (const [folder, name] of COMMANDS.slice(1)) {
    it(`${name}: says what is wrong in one line`, () => {
      // Guards against ignored flags, and against stack traces.
      for (const [words, text] of BAD_WORDS) {
        const result = spawnSync(findLauncher(folder, name), words, {
          encoding: 'utf8',
          timeout: RUN_LIMIT_MS,
        });
        expect(result.status).toEqual(2);
        expect(result.stderr.trimEnd().split('\n').length).toEqual(1);
        expect(result.stderr).toInclude(text);
      }
    });
  }
});
