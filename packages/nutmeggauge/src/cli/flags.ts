/** Flags of the `nutmeggauge` command line, their help text and validation. */
import meow from 'meow';
import {UsageError} from './errors.js';
import type {Result} from 'meow';

/** Routing policies that `demo --routing` accepts. */
const ROUTING_POLICIES = [
  'round-robin',
  'least-outstanding',
  'power-of-two',
  'token-load',
  'class-load',
];

const FENCING_MODES = ['refuse', 'ignore'];

const FLAGS = {
  faults: {type: 'boolean', default: false},
  seed: {type: 'number', default: 20261202},
  seeds: {type: 'number', default: 1},
  jobs: {type: 'number', default: 1},
  gates: {type: 'number', default: 3},
  targets: {type: 'number', default: 6},
  lengthMs: {type: 'number', default: 14_000},
  restores: {type: 'number', default: 2},
  gateStops: {type: 'number', default: 2},
  crashing: {type: 'number', default: 0},
  impatient: {type: 'number', default: 0},
  limit: {type: 'number', default: 0},
  leaving: {type: 'number', default: 0},
  resting: {type: 'number', default: 0},
  evacuations: {type: 'number', default: 0},
  stopSeries: {type: 'number', default: 2},
  unframed: {type: 'number', default: 3},
  unruly: {type: 'number', default: 0},
  coldStarts: {type: 'boolean', default: false},
  timing: {type: 'boolean', default: true},
  agents: {type: 'boolean', default: false},
  routing: {type: 'string', default: 'class-load', choices: ROUTING_POLICIES},
  runDir: {type: 'string'},
  out: {type: 'string'},
  id: {type: 'string', default: 'stand-in'},
  host: {type: 'string', default: '127.0.0.1'},
  port: {type: 'number', default: 0},
  fencing: {type: 'string', default: 'refuse', choices: FENCING_MODES},
  lagMs: {type: 'number', default: 250},
  latencyMs: {type: 'number', default: 20},
  prefillRate: {type: 'number', default: 400_000},
  chunkTokens: {type: 'number', default: 16_384},
  objectives: {type: 'string'},
  json: {type: 'string'},
  html: {type: 'string'},
  request: {type: 'string'},
} as const;

const HELP = `
  Usage
    $ nutmeggauge demo [--faults] [--seed N] [--routing POLICY] [--run-dir DIR]
    $ nutmeggauge bench <experiment.yaml…> [--run-dir DIR]
    $ nutmeggauge measure [--out DIR] [--run-dir DIR]
    $ nutmeggauge capacity <folder with measured.json>
    $ nutmeggauge soak [--seed N] [--seeds COUNT] [--jobs N] [--gates N]
      [--targets N] [--length-ms N] [--restores N] [--gate-stops N] [--crashing N]
      [--impatient N] [--limit N] [--leaving N] [--resting N]
      [--evacuations N] [--stop-series N] [--unframed N] [--unruly N]
      [--cold-starts] [--no-timing]
      [--run-dir DIR]
    $ nutmeggauge soak --agents [--seed N] [--seeds COUNT] [--jobs N] [--gates N]
      [--length-ms N] [--run-dir DIR]
    $ nutmeggauge timeline <run-dir or .log files…>
    $ nutmeggauge explain <request id> <run-dir or .log files…>
    $ nutmeggauge losses <run-dir or .log files…> [--objectives FILE]
      [--json FILE] [--html FILE] [--request ID]
    $ nutmeggauge standin <engine|config|hosts|plain> --id ID --port N
      [--host ADDRESS]

  Options
    --faults      Inject faults during the load: kill and pause processes, break
                  the configuration service
    --seed        Seed of the workload, or first seed of a soak (default 20261202)
    --seeds       Soak: number of consecutive seeds to run (default 1)
    --jobs        Soak: number of seeds that run in parallel (default 1)
    --gates, --targets, --length-ms
                  Soak: number of gates, number of targets and duration
                  (default 3, 6 and 14000)
    --restores    Soak: number of restores of the store from an older copy
                  (default 2)
    --gate-stops  Soak: number of stops or kills of a gate during or near a
                  suspension of that gate (default 2)
    --crashing    Soak: number of callers that repeat a request under which every
                  target crashes (default 0)
    --impatient   Soak: number of callers that send bursts of requests and leave
                  within a second (default 0)
    --limit       Soak: requests per second that a plain service names as its
                  limit, and an engine for half of the time (default 0: none)
    --leaving     Soak: number of targets that say in their answers that they
                  leave long before the store knows (default 0)
    --resting     Soak: number of times that a target refuses most requests and
                  asks for rest (default 0)
    --evacuations  Soak: number of times that zones of the targets are evacuated
                  and taken back (default 0)
    --stop-series  Soak: number of series of stops of gates that overlap, under
                  streams that last longer than a stop (default 2)
    --unframed    Soak: number of times that a target answers with neither a length
                  nor chunks: whole, reset, or twice (default 3)
    --unruly      Soak: number of crowds of callers that send bodies and trailers
                  which never end, or bodies far over the limit
    --cold-starts  Soak: targets that replace others are cold for 8 s
    --agents      Soak: use gates with an agent for each target instead of direct
                  gates
    --no-timing   Soak: skip checks with a bound on time, for busy machines
    --routing     round-robin | least-outstanding | power-of-two | token-load |
                  class-load
    --run-dir     Folder for settings and logs (default runs/<command>-<time>)
    --out         Folder for the results of measure (default runs/measure-<time>)
    --objectives  Losses: YAML file with the objectives of the routes
    --json, --html
                  Losses: output files for the analysis and for the HTML page
    --request     Losses: request that the plot on the HTML page shows (default:
                  the largest late prompt)
    --id, --host, --port
                  Name and address of a stand-in (default host 127.0.0.1)
    --fencing     Engine stand-in: refuse orders with old fencing numbers, or
                  ignore the numbers (refuse | ignore)
    --lag-ms      Delay of an engine's load report, or of the host list, in ms
    --latency-ms  Plain service stand-in: latency of an answer, in ms
    --prefill-rate  Engine stand-in: prompt tokens prefilled per second
    --chunk-tokens  Engine stand-in: maximum prompt tokens prefilled in one step
`;

/** Parsed command line: arguments, flags, and functions that show the help. */
export type CommandLine = Result<typeof FLAGS>;

/** Values of the flags, with defaults filled in. */
export type CommandFlags = CommandLine['flags'];

/** Exit status after the help was shown. */
const EXIT_HELP = 0;

function formatFlag(key: string): string {
  if (key.length === 1) return `-${key}`;
  return `--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

function checkFlag(key: string, value: unknown): void {
  if (!Object.hasOwn(FLAGS, key))
    throw new UsageError({info: {key}}, `unknown flag ${formatFlag(key)}`);
  const {type} = FLAGS[key as keyof typeof FLAGS];
  const flag = formatFlag(key);
  if (type === 'number' && !Number.isFinite(value))
    throw new UsageError({info: {key, value}}, `${flag} needs a number`);
  if (type === 'string' && value === '')
    throw new UsageError({info: {key}}, `${flag} needs a value`);
}

/**
 * Parses a command line.
 *
 * @param cliArgs - Arguments after the paths of Node and of the script.
 * @throws UsageError when a flag is unknown, set twice, or has a bad value.
 * @example
 * parseCommandLine(process.argv.slice(2), import.meta).input;
 */
export function parseCommandLine(
  cliArgs: readonly string[],
  importMeta: ImportMeta,
): CommandLine {
  const cli = parseArguments(cliArgs, importMeta);
  // meow shows the help by itself only if --help is the only argument.
  if (cliArgs.includes('--help')) cli.showHelp(EXIT_HELP);
  for (const [key, value] of Object.entries(cli.flags))
    if (value !== undefined) checkFlag(key, value);
  return cli;
}

function parseArguments(
  cliArgs: readonly string[],
  importMeta: ImportMeta,
): CommandLine {
  try {
    return meow(HELP, {importMeta, argv: cliArgs, flags: FLAGS});
  } catch (cause) {
    // meow throws for a repeated flag and for an invalid choice.
    const message = (cause as Error).message.replace(/\s+/g, ' ');
    throw new UsageError({info: {words: cliArgs}}, message);
  }
}
