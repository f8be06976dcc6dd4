/** Flags of `nutmeggauge` and their validation. */
import meow from 'meow';
import {UsageError} from './errors.js';
import type {Result} from 'meow';

/** Routing policies of the gate that `demo` starts. */
const ROUTINGS = [
  'round-robin',
  'least-outstanding',
  'power-of-two',
  'token-load',
  'class-load',
];

const FENCINGS = ['refuse', 'ignore'];

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
  timing: {type: 'boolean', default: true},
  agents: {type: 'boolean', default: false},
  routing: {type: 'string', default: 'class-load', choices: ROUTINGS},
  runDir: {type: 'string'},
  out: {type: 'string'},
  id: {type: 'string', default: 'stand-in'},
  host: {type: 'string', default: '127.0.0.1'},
  port: {type: 'number', default: 0},
  fencing: {type: 'string', default: 'refuse', choices: FENCINGS},
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
    $ nutmeggauge capacity <folder of measured.json>
    $ nutmeggauge soak [--seed N] [--seeds COUNT] [--jobs N] [--gates N]
      [--targets N] [--length-ms N] [--restores N] [--gate-stops N] [--no-timing]
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
    --faults      Kill, pause and cut off processes while the load runs
    --seed        Seed of the workload, first seed of a soak (default 20261202)
    --seeds       Seeds of a soak, played one after the other (default 1)
    --jobs        Seeds that a soak plays at once (default 1)
    --gates, --targets, --length-ms
                  Size and length of a soak (default 3, 6 and 14000)
    --restores    Soak: returns of the store from an older copy (default 2)
    --gate-stops  Soak: gates that are told to stop or killed around a suspension
                  (default 2)
    --agents      Soak: gates with agents beside their targets, in place of
                  direct gates
    --no-timing   Soak: leaves out promises with a bound on time, for busy
                  machines
    --routing     round-robin | least-outstanding | power-of-two | token-load |
                  class-load
    --run-dir     Folder for settings and logs (default runs/<command>-<time>)
    --out         Folder for the figures of measure (default runs/measure-<time>)
    --objectives  Losses: YAML file of the routes' objectives
    --json, --html
                  Losses: files for the whole analysis and for the page
    --request     Losses: the request that the page's plot shows (default: the
                  largest late prompt)
    --id, --host, --port
                  Name and address of a stand-in (default host 127.0.0.1)
    --fencing     Engine stand-in: refuse | ignore orders with old fencing numbers
    --lag-ms      Engine load lag, or host list lag, in ms
    --latency-ms  Plain service latency, in ms
    --prefill-rate  Engine stand-in: prompt tokens read a second
    --chunk-tokens  Engine stand-in: most prompt tokens read in one step
`;

/** A parsed command line: words, flags, and the help. */
export type CommandLine = Result<typeof FLAGS>;

/** Values of the flags. */
export type CommandFlags = CommandLine['flags'];

/** Exit status after `--help`. */
const EXIT_SHOWN = 0;

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
 * @param words - Without the names of Node and of the script.
 * @throws UsageError when a flag is unknown, set twice, or has a bad value.
 * @example
 * parseCommandLine(process.argv.slice(2), import.meta).input;
 */
export function parseCommandLine(
  words: readonly string[],
  importMeta: ImportMeta,
): CommandLine {
  const cli = readWords(words, importMeta);
  // meow shows the help only if the flag stands alone.
  if (words.includes('--help')) cli.showHelp(EXIT_SHOWN);
  for (const [key, value] of Object.entries(cli.flags))
    if (value !== undefined) checkFlag(key, value);
  return cli;
}

function readWords(
  words: readonly string[],
  importMeta: ImportMeta,
): CommandLine {
  try {
    return meow(HELP, {importMeta, argv: words, flags: FLAGS});
  } catch (cause) {
    // meow throws for a repeated flag and for an invalid choice.
    const message = (cause as Error).message.replace(/\s+/g, ' ');
    throw new UsageError({info: {words}}, message);
  }
}
