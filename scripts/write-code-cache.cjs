// Runs a bundled gate briefly and writes the V8 code cache of its compiled
// code. bundle.mjs calls this script with the Node flags of the deploy file,
// because V8 accepts a cache only under the flags that it was created with.
//
//   node [flags] scripts/write-code-cache.cjs target/nutmeggauge-gate.cjs
'use strict';

const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const {tmpdir} = require('node:os');
const {join, resolve} = require('node:path');
const {getCachePath, runProgram} = require('../deploy/start-cached.cjs');

/**
 * Time that the gate runs before the cache is written, in ms: three times the
 * startup time on a busy machine. Code that V8 compiles later is missing from
 * the cache but still works.
 */
const WARM_UP_MS = 1500;

/** Gate settings: loopback, free ports, and a store that is not reachable. */
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
