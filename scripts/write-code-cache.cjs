// Runs a bundled gate for a moment and writes the code that V8 compiled for
// it. Called by bundle.mjs with the flags of the deploy file, since V8 takes
// a cache only under the flags that it was made with.
//
//   node [flags] scripts/write-code-cache.cjs target/nutmeggauge-gate.cjs
'use strict';

const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const {tmpdir} = require('node:os');
const {join, resolve} = require('node:path');
const {getCachePath, runProgram} = require('../deploy/start-cached.cjs');

/**
 * Time for the gate to start, in ms: three times what a start takes on a busy
 * machine. Code that is compiled later is only missing from the cache.
 */
const WARM_UP_MS = 1500;

/** Loopback, free ports, and a store that does not answer. */
const SETTINGS = `
node = "warm-up"
ip = "127.0.0.1"
zone = "z"
internalPorts = [0, 0]
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[bounds]
graceS = 1
retryBudgetRatio = 0.1
budgetWindowS = 1
retrySlack = 1
[provider]
address = "127.0.0.1:9"
`;

const program = resolve(process.argv[2]);
process.argv.splice(2);
const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-'));
process.env.NUTMEGGAUGE_CONFIG = join(folder, 'settings.toml');
writeFileSync(process.env.NUTMEGGAUGE_CONFIG, SETTINGS);
const script = runProgram(program);
setTimeout(() => {
  writeFileSync(getCachePath(program), script.createCachedData());
  rmSync(folder, {recursive: true});
  process.exit(0);
}, WARM_UP_MS);
