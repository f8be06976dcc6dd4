// Bundles the platform's program into one file under target/.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/bin.ts'],
  outfile: 'target/nutmeggauge-gate.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifyWhitespace: true,
  minifySyntax: true,
  // Packages inside the workspace are bundled from their sources.
  alias: {
    '@nutmeggauge/core': './packages/core/src/index.ts',
    '@nutmeggauge/direct': './packages/direct/src/index.ts',
  },
  // CommonJS dependencies call require().
  banner: {
    js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
