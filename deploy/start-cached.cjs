// Starts a bundled program from the code that V8 compiled for it at the build.
//
//   node deploy/start-cached.cjs target/nutmeggauge-gate.cjs [arguments]
//
// After a kill nobody is served until the new process listens, and compiling
// the bundle was the largest part of its start. With the cache a gate listens
// after 240 instead of 430 ms of processor time (medians of seven starts
// beside a busy machine; Node alone takes 175 ms of it). V8 refuses a cache
// of another version or of other flags; the program then compiles as usual
// and a line says so.
'use strict';

const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {resolve} = require('node:path');
const {Script} = require('node:vm');

/** Path of the cache that belongs to a program. */
function getCachePath(program) {
  return `${program}.cache`;
}

/** Reads the cache of a program; nothing where none was built. */
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
  // Until the program listens to it, a SIGHUP would end the process: a change
  // of the settings during a restart then cost another restart. Before this
  // line, while Node itself starts, nothing can keep the signal from doing so.
  process.on('SIGHUP', () => undefined);
  process.stdout.write('{"level":"info","event":"program_starting"}\n');
  // The program finds its own arguments where it would without this file.
  const [program] = process.argv.splice(2, 1);
  runProgram(resolve(program));
}
