// Bundles the gate program of platform/ into one file under target/ and writes
// its V8 code cache.
import {execFileSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import {build} from 'esbuild';
import {parse} from 'smol-toml';

const PROGRAM = 'target/nutmeggauge-gate.cjs';

/**
 * Modules of hdr-histogram-js that a gate does not use: reading, writing and
 * compressing histogram logs, and the WebAssembly variant. The bundle omits
 * them because loading them loads the locale data of Intl, which takes an
 * eighth of the gate's startup time.
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

/** Returns the Node flags of the gate's command in deploy/system.toml. */
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
  // Bundles workspace packages from their TypeScript sources.
  alias: {
    '@nutmeggauge/core': './packages/core/src/index.ts',
    '@nutmeggauge/direct': './packages/direct/src/index.ts',
  },
  plugins: [leaveOutUnusedParts],
  // Only meow reads import.meta, to find a package.json that the bundle does
  // not need; CommonJS output has no import.meta.
  define: {'import.meta': '{"url":"file:///nutmeggauge-gate"}'},
  logLevel: 'warning',
});
execFileSync(
  process.execPath,
  [...readNodeFlags(), 'scripts/write-code-cache.cjs', PROGRAM],
  {stdio: ['ignore', 'ignore', 'inherit']},
);
