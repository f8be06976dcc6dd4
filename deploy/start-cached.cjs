// Starts a bundled program with the V8 code cache that the build created.
//
//   node deploy/start-cached.cjs target/nutmeggauge-gate.cjs [arguments]
//
// After a kill, a node serves no requests until the new process listens, and
// compiling the bundle takes most of the startup time. With the cache a gate
// listens after 240 ms of CPU time instead of 430 ms (medians of seven starts
// on a busy machine); Node itself takes 175 ms of that. V8 rejects a cache from
// another V8 version or other flags; the program then compiles as usual and
// logs `code_cache_unused`.
'use strict';

const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {resolve} = require('node:path');
const {Script} = require('node:vm');
const {openEarlyListener} = require('../platform/early-listener.cjs');
const {observeEarlyStop} = require('../platform/early-stop.cjs');

/** Returns the path of a program's code cache. */
function getCachePath(program) {
  return `${program}.cache`;
}

/** Reads the code cache of a program; undefined if the file does not exist. */
function readCache(program) {
  try {
    return readFileSync(getCachePath(program));
  } catch (error) {
    if (error.code !== 'ENOENT') throw error;
    return undefined;
  }
}

/** Runs a CommonJS program and returns its compiled script. */
function runProgram(program) {
  const script = new Script(wrap(readFileSync(program, 'utf8')), {
    filename: program,
    cachedData: readCache(program),
  });
  if (script.cachedDataRejected !== false)
    process.stdout.write('{"level":"warn","event":"code_cache_unused"}\n');
  const entry = {exports: {}};
  script.runInThisContext()(entry.exports, require, entry, program, '');
  return script;
}

module.exports = {getCachePath, runProgram};

if (require.main === module) {
  // Ignores SIGHUP until the program installs its own handler: otherwise a
  // settings reload during a restart would terminate the process and cause
  // another restart. A SIGHUP while Node itself starts still does so.
  process.on('SIGHUP', () => undefined);
  observeEarlyStop();
  // Removes the program's path from argv, so that the program finds its own
  // arguments at the usual positions.
  const [program] = process.argv.splice(2, 1);
  openEarlyListener(process.env.NUTMEGGAUGE_CONFIG, () => {
    process.stdout.write('{"level":"info","event":"program_starting"}\n');
    runProgram(resolve(program));
  });
}
