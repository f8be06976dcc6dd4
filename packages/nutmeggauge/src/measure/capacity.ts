/**
 * Works out, from measured slopes, what each role needs at the size that
 * letter 1 sets, and holds it against the letter's budget of control.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Measurement} from './measure.js';

/** The size to design for (letter 1). */
const SIZE = {
  gates: 350,
  targets: 1500,
  requestsPerSecond: 1200,
  tokensPerSecond: 320_000,
  accounts: 3700,
  models: 25,
  changesPerDay: 910,
} as const;

/** Budget of control of one node (letter 1). */
const BUDGET = {corePercent: 4.5, memoryMb: 256, bytesPerSecond: 3000} as const;

/** Settings of gates and agents at that size. */
const SETTINGS = {
  /** `routing.subsetSize`: targets of each pool that a gate links to. */
  subsetSize: 4,
  /** `heartbeatMs` of the agents. */
  heartbeatMs: 10_000,
} as const;

/** Heartbeat under which the slopes by links were measured, in ms. */
const MEASURED_HEARTBEAT_MS = 1000;

/** Characters of prompt text of a mean request: 29,000 tokens of 4. */
const PROMPT_KB_PER_REQUEST = 116;

const SECONDS_PER_DAY = 86_400;

/** Share of requests that carry a key, and how long a ledger keeps one, in s. */
const KEYED_SHARE = 0.1;
const RETAIN_S = 900;

interface Row {
  readonly role: 'gate' | 'agent' | 'configuration';
  readonly figure: string;
  readonly working: string;
  readonly value: number;
  readonly unit: string;
  readonly budget?: number;
}

/** Slopes by name, with the measured line's value at x. */
class Slopes {
  constructor(private readonly measurement: Measurement) {}

  /** The slope alone: what one more costs. */
  readSlope(name: string): number {
    return this.find(name).slope;
  }

  /** The line's value at `x`. */
  readAt(name: string, x: number): number {
    const {slope, intercept} = this.find(name);
    return intercept + slope * x;
  }

  private find(name: string) {
    const found = this.measurement.slopes.find(s => s.name === name);
    return found ?? {slope: NaN, intercept: NaN};
  }
}

/** What a process of one role meets at the letter's size. */
interface RoleLoad {
  readonly role: 'gate' | 'agent';
  readonly links: number;
  readonly requestsPerSecond: number;
  readonly piecesPerSecond: number;
  /** Memory beside that of its links, in MB, and what it is made of. */
  readonly stateMb: number;
  readonly state: string;
  /** Processor time of taking records in, in % of a core. */
  readonly recordCorePercent: number;
  readonly recordBytesPerSecond: number;
}

/**
 * Lists every figure at the letter's size.
 *
 * @example
 * listFigures(measurement).filter(row => row.budget !== undefined);
 */
export function listFigures(measurement: Measurement): readonly Row[] {
  const slopes = new Slopes(measurement);
  return [
    ...listRoleFigures(slopes, describeGate(slopes)),
    ...listRoleFigures(slopes, describeAgent(slopes)),
    ...listConfigFigures(slopes),
  ];
}

/** Idle cost at the heartbeat of that size, from the one measured at 1 s. */
function toLongHeartbeat(perSecond: number): number {
  return (perSecond * MEASURED_HEARTBEAT_MS) / SETTINGS.heartbeatMs;
}

/** Cost a second of something that each change of the configuration costs. */
function toPerSecond(perChange: number): number {
  return (perChange * SIZE.changesPerDay) / SECONDS_PER_DAY;
}

function describeGate(slopes: Slopes): RoleLoad {
  const recordCpuMs = slopes.readAt(
    'gate.record_cpu_ms_by_accounts',
    SIZE.accounts,
  );
  return {
    role: 'gate',
    links: SIZE.models * SETTINGS.subsetSize,
    requestsPerSecond: SIZE.requestsPerSecond / SIZE.gates,
    piecesPerSecond: SIZE.tokensPerSecond / SIZE.gates,
    stateMb:
      slopes.readAt('gate.rss_mb_by_accounts', SIZE.accounts) +
      slopes.readSlope('gate.rss_mb_by_targets') * SIZE.targets,
    state: `record of ${SIZE.accounts} accounts and ${SIZE.targets} targets`,
    // Milliseconds a second are tenths of a percent.
    recordCorePercent: toPerSecond(recordCpuMs) / 10,
    recordBytesPerSecond: toPerSecond(
      slopes.readAt('config.gate_delta_bytes_by_accounts', SIZE.accounts),
    ),
  };
}

function describeAgent(slopes: Slopes): RoleLoad {
  const requestsPerSecond = SIZE.requestsPerSecond / SIZE.targets;
  const targetsPerModel = SIZE.targets / SIZE.models;
  const keys = requestsPerSecond * KEYED_SHARE * RETAIN_S;
  return {
    role: 'agent',
    links: (SIZE.gates * SETTINGS.subsetSize) / targetsPerModel,
    requestsPerSecond,
    piecesPerSecond: SIZE.tokensPerSecond / SIZE.targets,
    stateMb:
      slopes.readAt('agent.rss_mb_by_links', 0) +
      slopes.readSlope('agent.rss_mb_by_ledger_keys') * keys,
    state: `${keys.toFixed(0)} keys in the ledger`,
    recordCorePercent: 0,
    recordBytesPerSecond: toPerSecond(
      slopes.readAt('config.agent_delta_bytes_by_accounts', SIZE.accounts),
    ),
  };
}

function listRoleFigures(slopes: Slopes, load: RoleLoad): readonly Row[] {
  const {role, links, requestsPerSecond, piecesPerSecond} = load;
  const promptKb = requestsPerSecond * PROMPT_KB_PER_REQUEST;
  const readSlope = (name: string) => slopes.readSlope(`${role}.${name}`);
  const idleBytes = toLongHeartbeat(
    readSlope('control_bytes_s_by_links') * links,
  );
  const callBytes = readSlope('control_bytes_s_by_calls_s') * requestsPerSecond;
  const idleCore =
    slopes.readAt(`${role}.idle_core_percent_by_links`, 0) +
    toLongHeartbeat(readSlope('idle_core_percent_by_links') * links);
  const traffic = `${requestsPerSecond.toFixed(2)} requests/s`;
  const heartbeat = `${links.toFixed(0)} links at a ${SETTINGS.heartbeatMs / 1000} s heartbeat`;
  return [
    {
      role,
      figure: 'memory',
      working: `${load.state}, ${links.toFixed(0)} links`,
      value: load.stateMb + readSlope('rss_mb_by_links') * links,
      unit: 'MB',
      budget: BUDGET.memoryMb,
    },
    {
      role,
      figure: 'processor time, control',
      working: `${heartbeat} + ${SIZE.changesPerDay} changes a day`,
      value: idleCore + load.recordCorePercent,
      unit: '% of a core',
      budget: BUDGET.corePercent,
    },
    {
      role,
      figure: 'control bytes',
      working: `${heartbeat} (${idleBytes.toFixed(0)}) + ${traffic} (${callBytes.toFixed(0)}) + changes (${load.recordBytesPerSecond.toFixed(0)})`,
      value: idleBytes + callBytes + load.recordBytesPerSecond,
      unit: 'bytes/s',
      budget: BUDGET.bytesPerSecond,
    },
    {
      role,
      figure: 'processor time, traffic',
      working: `${traffic}, ${piecesPerSecond.toFixed(0)} pieces/s, ${promptKb.toFixed(0)} KB/s of prompts`,
      value:
        readSlope('core_percent_by_calls_s') * requestsPerSecond +
        readSlope('core_percent_by_pieces_s') * piecesPerSecond +
        readSlope('core_percent_by_prompt_kb_s') * promptKb,
      unit: '% of a core',
    },
  ];
}

/** Time in which a change must be in force everywhere (letter 1), in ms. */
const IN_FORCE_MS = 8000;

/** Reads a second that the service answers, across all readers (brief). */
const SERVICE_READS_PER_SECOND = 2000;

function listConfigFigures(slopes: Slopes): readonly Row[] {
  const readers = SIZE.gates + SIZE.targets;
  const perChange = (SIZE.changesPerDay * readers) / SECONDS_PER_DAY;
  const idle = slopes.readAt('config.reads_s_by_readers', readers);
  return [
    {
      role: 'configuration',
      figure: 'change in force at every reader',
      working: `${readers} readers, slowest of ten changes`,
      value: slopes.readAt('config.in_force_ms_by_readers', readers),
      unit: 'ms',
      budget: IN_FORCE_MS,
    },
    {
      role: 'configuration',
      figure: 'reads of the service',
      working: `${readers} watches of 25 s (${idle.toFixed(0)}) + ${SIZE.changesPerDay} changes a day (${perChange.toFixed(1)})`,
      value: idle + perChange,
      unit: 'reads/s',
      budget: SERVICE_READS_PER_SECOND,
    },
    {
      role: 'configuration',
      figure: 'whole record',
      working: `${SIZE.accounts} accounts, ${SIZE.targets} targets`,
      value: slopes.readAt('config.record_bytes_by_accounts', SIZE.accounts),
      unit: 'bytes',
      budget: 1_048_576,
    },
  ];
}

function formatRow(row: Row): string {
  const budget = row.budget === undefined ? '–' : String(row.budget);
  const verdict =
    row.budget === undefined ? '–' : row.value <= row.budget ? 'yes' : '**no**';
  const value = row.value.toPrecision(4);
  return `| ${[row.role, row.figure, row.working, `${value} ${row.unit}`, budget, verdict].join(' | ')} |`;
}

/**
 * Reads `measured.json` in `dir` and writes `figures.md` beside it.
 *
 * @returns The table as written.
 * @example
 * writeCapacity('docs/capacity');
 */
export function writeCapacity(dir: string): string {
  const measurement = JSON.parse(
    readFileSync(join(dir, 'measured.json'), 'utf8'),
  ) as Measurement;
  const slopes = measurement.slopes.map(
    s =>
      `| ${s.name} | ${s.xName} | ${s.slope.toPrecision(4)} | ${s.intercept.toPrecision(4)} | ${s.rSquared.toFixed(3)} | ${s.yName} |`,
  );
  const {drainMs, freezeMs, killMs} = measurement.leaving;
  const text = [
    "# Figures at letter 1's size",
    '',
    `Written by \`nutmeggauge capacity docs/capacity\` from \`measured.json\` (${measurement.measuredAt}); do not edit.`,
    '',
    '| role | figure | worked out from | value | budget | within |',
    '| --- | --- | --- | --- | --- | --- |',
    ...listFigures(measurement).map(formatRow),
    '',
    '## Measured slopes',
    '',
    '| slope | by | a unit more | at none | R² | unit |',
    '| --- | --- | --- | --- | --- | --- |',
    ...slopes,
    '',
    '## Until a gate stops sending to a target',
    '',
    `Its agent drains: ${drainMs.toFixed(0)} ms. It is killed: ${killMs.toFixed(0)} ms. It freezes (heartbeats of 1 s): ${freezeMs.toFixed(0)} ms.`,
    '',
  ].join('\n');
  writeFileSync(join(dir, 'figures.md'), text);
  return text;
}
