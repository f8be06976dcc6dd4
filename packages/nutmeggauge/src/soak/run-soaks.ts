/** Runs the soak for a range of seeds, each seed in its own child process. */
import {join} from 'node:path';
import {formatExit, startOwnedProcess} from '../cluster/owned-process.js';
import {runClusterSoak} from './cluster-soak.js';
import {runSoak} from './soak.js';
import type {ClusterSoakResult} from './cluster-soak.js';
import type {SoakOptions, SoakResult} from './soak.js';

/** Range of seeds to run, and the options of each run. */
export interface SoakSeries extends SoakOptions {
  /** Number of seeds, starting with `seed`. */
  readonly seeds: number;
  /** Number of concurrent runs. */
  readonly jobs: number;
  /** Whether to run gates with agents instead of direct gates. */
  readonly hasAgents: boolean;
}

/**
 * Runs a single seed in this process, or several seeds in child processes,
 * because loopback hosts are allotted per process.
 *
 * @returns True if no run violated an invariant.
 * @example
 * await runSoaks({...options, seeds: 50, jobs: 4});
 */
export async function runSoaks(series: SoakSeries): Promise<boolean> {
  if (series.seeds <= 1) return printResult(await runSeed(series));
  let isPassed = true;
  let nextSeed = series.seed;
  const endSeed = series.seed + series.seeds;
  const runWorker = async () => {
    while (nextSeed < endSeed) {
      const isSeedPassed = await runSeedInChild(series, nextSeed++);
      isPassed = isPassed && isSeedPassed;
    }
  };
  await Promise.all(Array.from({length: series.jobs}, runWorker));
  return isPassed;
}

function runSeed(series: SoakSeries): Promise<SoakResult | ClusterSoakResult> {
  return series.hasAgents ? runClusterSoak(series) : runSoak(series);
}

function runSeedInChild(series: SoakSeries, seed: number): Promise<boolean> {
  const cliArgs = [
    ...[process.argv[1], 'soak', '--seed', String(seed)],
    ...['--gates', String(series.gates), '--targets', String(series.targets)],
    ...['--length-ms', String(series.lengthMs)],
    ...['--run-dir', join(series.runDir, String(seed))],
    ...['--restores', String(series.restores)],
    ...['--gate-stops', String(series.gateStops)],
    ...['--crashing', String(series.crashing)],
    ...['--impatient', String(series.impatient)],
    ...['--limit', String(series.limit)],
    ...['--leaving', String(series.leaving)],
    ...['--resting', String(series.resting)],
    ...['--evacuations', String(series.evacuations)],
    ...['--stop-series', String(series.stopSeries)],
    ...['--unframed', String(series.unframed)],
    ...['--unruly', String(series.unruly)],
    ...(series.coldStarts ? ['--cold-starts'] : []),
    ...(series.hasTiming ? [] : ['--no-timing']),
    ...(series.hasAgents ? ['--agents'] : []),
  ];
  const child = startOwnedProcess(cliArgs, {
    stdio: 'inherit',
    endSignal: 'SIGTERM',
  });
  return new Promise(resolve =>
    child.once('exit', (code, signal) => {
      if (signal !== null)
        process.stdout.write(
          `${formatExit({name: `soak of seed ${seed}`, code, signal})}\n`,
        );
      resolve(code === 0);
    }),
  );
}

function printResult(result: SoakResult | ClusterSoakResult): boolean {
  const {violations, ...figures} = result;
  const line = {...figures, violations: violations.length};
  process.stdout.write(`${JSON.stringify(line)}\n`);
  for (const violation of violations)
    process.stdout.write(
      `${JSON.stringify({seed: result.seed, ...violation})}\n`,
    );
  return violations.length === 0;
}
