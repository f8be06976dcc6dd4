/**
 * `nutmeggauge bench`: runs experiment files and writes their reports.
 */
import {loadExperiment} from './experiment.js';
import {formatTable, writeReport} from './report.js';
import {runExperiment} from './run-experiment.js';
import {isClean} from '../load/summary.js';

/** Options of `nutmeggauge bench`. */
export interface BenchOptions {
  readonly files: readonly string[];
  /** Directory for logs and reports. */
  readonly runDir: string;
}

/**
 * Runs every experiment file. Returns true if the mixed load of every variant
 * passes `isClean`.
 *
 * @throws SettingsError if a file is invalid, before any experiment runs.
 * @example
 * await runBench({files: ['experiments/hinokuni.yaml'], runDir: 'runs/bench'});
 */
export async function runBench(options: BenchOptions): Promise<boolean> {
  const print = (line: string) => process.stdout.write(line + '\n');
  const experiments = options.files.map(loadExperiment);
  let allClean = true;
  for (const experiment of experiments) {
    const result = await runExperiment(experiment, {
      runDir: options.runDir,
      print,
    });
    print(formatTable(result));
    for (const path of writeReport(result, options.runDir))
      print(`report: ${path}`);
    allClean &&= result.variants.every(v => isClean(v.mixed));
  }
  return allClean;
}
