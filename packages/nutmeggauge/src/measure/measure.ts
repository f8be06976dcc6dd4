/**
 * `nutmeggauge measure`: measures the slopes behind docs/CAPACITY.md on this
 * machine and writes them as JSON and as charts. Slopes are measured on one
 * gate or agent process at a time, and with up to about 2,000 configuration
 * watchers in this process.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {renderFits} from '../bench/charts.js';
import {measureAgent} from './agent-measures.js';
import {measureConfig} from './config-measures.js';
import {measureGate} from './gate-measures.js';
import {measureRemovalLatencies} from './leaving-measures.js';
import type {Slope} from './fit.js';
import type {RemovalLatencies} from './leaving-measures.js';

/** Results of one measurement, as stored in `measured.json`. */
export interface Measurement {
  readonly measuredAt: string;
  readonly slopes: readonly Slope[];
  readonly leaving: RemovalLatencies;
}

/** Options of a measurement. */
export interface MeasureOptions {
  /** Directory for the JSON file and the charts. */
  readonly outDir: string;
  /** Directory for settings and logs of the measured processes. */
  readonly runDir: string;
}

function formatSlope(slope: Slope): string {
  const {name, xName, yName} = slope;
  const figures = [slope.slope, slope.intercept, slope.rSquared]
    .map(value => value.toPrecision(4))
    .join(' ');
  return `${name}: ${figures} (slope, intercept, R²; ${yName} by ${xName})`;
}

/**
 * Runs all measurements and writes their results; takes about three minutes.
 *
 * @example
 * await runMeasure({outDir: 'docs/capacity', runDir: 'runs/measure'});
 */
export async function runMeasure(
  options: MeasureOptions,
): Promise<Measurement> {
  const print = (line: string) => process.stdout.write(line + '\n');
  mkdirSync(options.outDir, {recursive: true});
  const slopes: Slope[] = [];
  const parts = [
    ['configuration', () => measureConfig()],
    ['agent', () => measureAgent(options.runDir)],
    ['gate', () => measureGate(options.runDir)],
  ] as const;
  for (const [name, measure] of parts) {
    print(`measuring: ${name}`);
    const measured = await measure();
    for (const slope of measured) print(`  ${formatSlope(slope)}`);
    slopes.push(...measured);
  }
  print('measuring: time until a gate stops routing to a target');
  const leaving = await measureRemovalLatencies(options.runDir);
  print(`  ${JSON.stringify(leaving)}`);
  const measurement = {measuredAt: new Date().toISOString(), slopes, leaving};
  writeFileSync(
    join(options.outDir, 'measured.json'),
    JSON.stringify(measurement, undefined, 2) + '\n',
  );
  for (const slope of slopes) {
    const svg = renderFits(slope.name, slope.xName, slope.yName, [slope]);
    writeFileSync(join(options.outDir, `${slope.name}.svg`), svg);
  }
  return measurement;
}
