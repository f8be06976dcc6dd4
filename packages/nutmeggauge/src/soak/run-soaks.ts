/** Runs many seeds of the soak, each in a process of its own. */
import {spawn} from 'node:child_process';
import {join} from 'node:path';
import {runClusterSoak} from './cluster-soak.js';
import {runSoak} from './soak.js';
import type {ClusterSoakResult} from './cluster-soak.js';
import type {SoakOptions, SoakResult} from './soak.js';

/** Seeds to run. */
export interface SoakSeries extends SoakOptions {
  /** Number of seeds, starting with `seed`. */
  readonly seeds: number;
  /** Number of concurrent runs. */
  readonly jobs: number;
  /** Runs gates with agents in place of direct gates. */
  readonly hasAgents: boolean;
}

/**
 * Runs one seed here, or several in child processes: loopback hosts belong to a
 * process.
 *
 * @returns True when every promise was kept.
 * @example
 * await runSoaks({...options, seeds: 50, jobs: 4});
 */
export async function runSoaks(series: SoakSeries): Promise<boolean> {
  if (series.seeds <= 1) return printResult(await runOne(series));
  let isKept = true;
  let next = series.seed;
  const end = series.seed + series.seeds;
  const work = async () => {
    while (next < end) {
      const isSeedKept = await runInChild(series, next++);
      isKept = isKept && isSeedKept;
    }
  };
  await Promise.all(Array.from({length: series.jobs}, work));
  return isKept;
}

function runOne(series: SoakSeries): Promise<SoakResult | ClusterSoakResult> {
  return series.hasAgents ? runClusterSoak(series) : runSoak(series);
}

function runInChild(series: SoakSeries, seed: number): Promise<boolean> {
  const words = [
    ...[process.argv[1], 'soak', '--seed', String(seed)],
    ...['--gates', String(series.gates), '--targets', String(series.targets)],
    ...['--length-ms', String(series.lengthMs)],
    ...['--run-dir', join(series.runDir, String(seed))],
    ...['--restores', String(series.restores)],
    ...['--gate-stops', String(series.gateStops)],
    ...(series.hasTiming ? [] : ['--no-timing']),
    ...(series.hasAgents ? ['--agents'] : []),
  ];
  const child = spawn(process.execPath, words, {stdio: 'inherit'});
  return new Promise(resolve =>
    child.once('exit', code => resolve(code === 0)),
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
