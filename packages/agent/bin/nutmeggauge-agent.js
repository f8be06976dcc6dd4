#!/usr/bin/env node
// Wrapper of the compiled command in dist/. npm links a command only if its
// file exists at install time, and dist/ does not exist before the build.
import {existsSync} from 'node:fs';
import process from 'node:process';
import {URL, fileURLToPath} from 'node:url';

// Until the command handles the signals itself, it serves nobody: it ends at a
// stop with the status of a stop, and SIGHUP must not end it.
process.on('SIGTERM', () => process.exit(0));
process.on('SIGINT', () => process.exit(0));
process.on('SIGHUP', () => undefined);

const compiled = new URL('../dist/bin.js', import.meta.url);
if (!existsSync(fileURLToPath(compiled))) {
  process.stderr.write(
    'nutmeggauge-agent: not built yet; run npx tsc -b first\n',
  );
  process.exit(2);
}
await import(compiled.href);
