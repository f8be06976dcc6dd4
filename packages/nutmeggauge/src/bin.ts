#!/usr/bin/env node
/**
 * `nutmeggauge`: the operators' and developers' command line.
 *   demo      whole deployment on loopback with the default workload
 *   bench     run experiment files and write their reports
 *   measure   measure the slopes behind docs/CAPACITY.md
 *   capacity  work out docs/capacity/figures.md from those slopes
 *   soak      real gates under random faults, promises checked
 *   timeline  merge the logs of every process of a run
 *   explain   one request's way through the logs of every process
 *   standin   run one stand-in of the platform (used by demo and bench)
 */
import {join} from 'node:path';
import meow from 'meow';
import {EXIT_BAD_SETTINGS, SettingsError} from '@nutmeggauge/core';
import {runBench} from './bench/bench.js';
import {runDemo} from './demo.js';
import {isClean} from './load/summary.js';
import {writeCapacity} from './measure/capacity.js';
import {runMeasure} from './measure/measure.js';
import {runSoaks} from './soak/run-soaks.js';
import {runStandIn} from './standin/run-standin.js';
import {explainRequest} from './timeline/explain.js';
import {formatTimelineEvent, mergeTimeline} from './timeline/merge.js';

const cli = meow(
  `
  Usage
    $ nutmeggauge demo [--faults] [--seed N] [--routing POLICY] [--run-dir DIR]
    $ nutmeggauge bench <experiment.yaml…> [--run-dir DIR]
    $ nutmeggauge measure [--out DIR] [--run-dir DIR]
    $ nutmeggauge capacity <folder of measured.json>
    $ nutmeggauge soak [--seed N] [--seeds COUNT] [--jobs N] [--gates N]
      [--targets N] [--length-ms N] [--no-timing] [--run-dir DIR]
    $ nutmeggauge timeline <run-dir or .log files…>
    $ nutmeggauge explain <request id> <run-dir or .log files…>
    $ nutmeggauge standin <engine|config|hosts|plain> --id ID --port N

  Options
    --faults      Kill, pause and cut off processes while the load runs
    --seed        Seed of the workload, first seed of a soak (default 20261202)
    --seeds       Seeds of a soak, played one after the other (default 1)
    --jobs        Seeds that a soak plays at once (default 1)
    --gates, --targets, --length-ms
                  Size and length of a soak (default 3, 6 and 14000)
    --no-timing   Soak: leaves out promises with a bound on time, for busy
                  machines
    --routing     round-robin | least-outstanding | power-of-two | token-load |
                  class-load
    --run-dir     Folder for settings and logs (default runs/<command>-<time>)
    --out         Folder for the figures of measure (default runs/measure-<time>)
    --id, --port  Name and port of a stand-in
    --fencing     Engine stand-in: refuse | ignore orders with old fencing numbers
    --lag-ms      Engine load lag, or host list lag, in ms
    --latency-ms  Plain service latency, in ms
    --prefill-rate  Engine stand-in: prompt tokens read a second
    --chunk-tokens  Engine stand-in: most prompt tokens read in one step
`,
  {
    importMeta: import.meta,
    flags: {
      faults: {type: 'boolean', default: false},
      seed: {type: 'number', default: 20261202},
      seeds: {type: 'number', default: 1},
      jobs: {type: 'number', default: 1},
      gates: {type: 'number', default: 3},
      targets: {type: 'number', default: 6},
      lengthMs: {type: 'number', default: 14_000},
      timing: {type: 'boolean', default: true},
      routing: {type: 'string', default: 'class-load'},
      runDir: {type: 'string'},
      out: {type: 'string'},
      id: {type: 'string', default: 'stand-in'},
      port: {type: 'number', default: 0},
      fencing: {type: 'string', default: 'refuse'},
      lagMs: {type: 'number', default: 250},
      latencyMs: {type: 'number', default: 20},
      prefillRate: {type: 'number', default: 400_000},
      chunkTokens: {type: 'number', default: 16_384},
    },
  },
);

const [command, ...rest] = cli.input;
const stamp = new Date().toISOString().replace(/[:.]/g, '-');

function endOnBadSettings(error: unknown): never {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`nutmeggauge: ${error.message}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

switch (command) {
  case 'demo': {
    const summary = await runDemo({
      runDir: cli.flags.runDir ?? join('runs', `demo-${stamp}`),
      seed: cli.flags.seed,
      routing: cli.flags.routing,
      faults: cli.flags.faults,
    });
    process.exit(isClean(summary) ? 0 : 1);
    break;
  }
  case 'bench': {
    const isCleanRun = await runBench({
      files: rest,
      runDir: cli.flags.runDir ?? join('runs', `bench-${stamp}`),
    }).catch(endOnBadSettings);
    process.exit(isCleanRun ? 0 : 1);
    break;
  }
  case 'measure': {
    const runDir = cli.flags.runDir ?? join('runs', `measure-${stamp}`);
    await runMeasure({outDir: cli.flags.out ?? runDir, runDir});
    process.exit(0);
    break;
  }
  case 'capacity':
    process.stdout.write(writeCapacity(rest[0] ?? join('docs', 'capacity')));
    break;
  case 'soak': {
    const isKept = await runSoaks({
      ...cli.flags,
      hasTiming: cli.flags.timing,
      runDir: cli.flags.runDir ?? join('runs', `soak-${stamp}`),
    });
    process.exit(isKept ? 0 : 1);
    break;
  }
  case 'timeline':
    for (const event of mergeTimeline(rest))
      process.stdout.write(formatTimelineEvent(event) + '\n');
    break;
  case 'explain':
    for (const event of explainRequest(
      mergeTimeline(rest.slice(1)),
      rest[0] ?? '',
    ))
      process.stdout.write(formatTimelineEvent(event) + '\n');
    break;
  case 'standin':
    await runStandIn(rest[0] ?? '', cli.flags);
    break;
  default:
    cli.showHelp(2);
}
