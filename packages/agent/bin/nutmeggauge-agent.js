#!/usr/bin/env node
// Stands in the repository, so that npm links the command on a fresh clone:
// npm leaves out a command whose file is not there yet, and the compiled one
// is only there after the build.
import {existsSync} from 'node:fs';
import process from 'node:process';
import {URL, fileURLToPath} from 'node:url';

const compiled = new URL('../dist/bin.js', import.meta.url);
if (!existsSync(fileURLToPath(compiled))) {
  process.stderr.write(
    'nutmeggauge-agent: not built yet; run npx tsc -b first\n',
  );
  process.exit(2);
}
await import(compiled.href);
