// Bundles the platform's program into one file under target/ and compiles it.
import {execFileSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import {build} from 'esbuild';
import {parse} from 'smol-toml';

const PROGRAM = 'target/nutmeggauge-gate.cjs';

/**
 * Parts of hdr-histogram-js that a gate does not use: reading and writing of
 * histogram logs, their compression and the WebAssembly variant. Loading them
 * opens the locale data of Intl, an eighth of a start.
 */
const UNUSED_HISTOGRAM_PARTS =
  /^\.\/(encoding|HistogramLogReader|HistogramLogWriter|Recorder|wasm)$/;

const leaveOutUnusedParts = {
  name: 'leave-out-unused-parts',
  setup({onResolve, onLoad}) {
    onResolve({filter: UNUSED_HISTOGRAM_PARTS}, ({path, importer}) =>
      importer.includes('/hdr-histogram-js/')
        ? {path, namespace: 'unused'}
        : undefined,
    );
    onLoad({filter: /.*/, namespace: 'unused'}, () => ({contents: ''}));
  },
};

/** Flags of Node in the deploy file: those between `node` and the program. */
function readNodeFlags() {
  const deploy = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...words] = deploy.roles.gate.run.split(' ');
  return words.slice(
    0,
    words.findIndex(word => !word.startsWith('--')),
  );
}

rmSync(`${PROGRAM}.cache`, {force: true});
await build({
  entryPoints: ['platform/src/bin.ts'],
  outfile: PROGRAM,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  // Packages inside the workspace are bundled from their sources.
  alias: {
    '@nutmeggauge/core': './packages/core/src/index.ts',
    '@nutmeggauge/direct': './packages/direct/src/index.ts',
  },
  plugins: [leaveOutUnusedParts],
  // Only meow reads it, to find a package.json that the bundle does not need.
  define: {'import.meta': '{"url":"file:///nutmeggauge-gate"}'},
  logLevel: 'warning',
});
execFileSync(
  process.execPath,
  [...readNodeFlags(), 'scripts/write-code-cache.cjs', PROGRAM],
  {stdio: ['ignore', 'ignore', 'inherit']},
);
