/**
 * Works out, from measured slopes, what each role needs at the size that
 * letter 1 sets, and holds it against the letter's budget of control.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Measurement} from './measure.js';

/** The size to design for (letter 1). */
const DESIGN_SIZE = {
  gates: 350,
  targets: 1500,
  requestsPerSecond: 1200,
  tokensPerSecond: 320_000,
  accounts: 3700,
  models: 25,
  changesPerDay: 910,
} as const;

/** Budget of control of one node (letter 1). */
const CONTROL_BUDGET = {
  corePercent: 4.5,
  memoryMb: 256,
  bytesPerSecond: 3000,
} as const;

/** Settings of gates and agents at that size. */
const DESIGN_SETTINGS = {
  /** `routing.subsetSize`: targets of each pool that a gate links to. */
  subsetSize: 4,
  /** `heartbeatMs` of the agents. */
  heartbeatMs: 10_000,
} as const;

/** Heartbeat under which the slopes by links were measured, in ms. */
const MEASURED_HEARTBEAT_MS = 1000;

/** Characters of prompt text of a mean request: 29,000 tokens of 4. */
const MEAN_PROMPT_KB = 116;

const SECONDS_PER_DAY = 86_400;

/** Share of requests that carry a key, and how long a ledger keeps one, in s. */
const KEYED_REQUEST_SHARE = 0.1;
const KEY_RETENTION_S = 900;

interface FigureRow {
  readonly role: 'gate' | 'agent' | 'configuration';
  readonly figure: string;
  readonly derivation: string;
  readonly value: number;
  readonly unit: string;
  readonly budget?: number;
}

/** Slopes by name, with the measured line's value at x. */
class SlopeTable {
  constructor(private readonly measurement: Measurement) {}

  /** The slope alone: what one more costs. */
  readSlope(name: string): number {
    return this.find(name).slope;
  }

  /** The line's value at `x`. */
  estimateAt(name: string, x: number): number {
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
export function listFigures(measurement: Measurement): readonly FigureRow[] {
  const slopes = new SlopeTable(measurement);
  return [
    ...listRoleFigures(slopes, buildGateLoad(slopes)),
    ...listRoleFigures(slopes, buildAgentLoad(slopes)),
    ...listConfigFigures(slopes),
  ];
}

/** Idle cost at the heartbeat of that size, from the one measured at 1 s. */
function toDesignHeartbeat(perSecond: number): number {
  return (perSecond * MEASURED_HEARTBEAT_MS) / DESIGN_SETTINGS.heartbeatMs;
}

/** Cost a second of something that each change of the configuration costs. */
function toPerSecond(perChange: number): number {
  return (perChange * DESIGN_SIZE.changesPerDay) / SECONDS_PER_DAY;
}

function buildGateLoad(slopes: SlopeTable): RoleLoad {
  const recordCpuMs = slopes.estimateAt(
    'gate.record_cpu_ms_by_accounts',
    DESIGN_SIZE.accounts,
  );
  return {
    role: 'gate',
    links: DESIGN_SIZE.models * DESIGN_SETTINGS.subsetSize,
    requestsPerSecond: DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.gates,
    piecesPerSecond: DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.gates,
    stateMb:
      slopes.estimateAt('gate.rss_mb_by_accounts', DESIGN_SIZE.accounts) +
      slopes.readSlope('gate.rss_mb_by_targets') * DESIGN_SIZE.targets,
    state: `record of ${DESIGN_SIZE.accounts} accounts and ${DESIGN_SIZE.targets} targets`,
    // Milliseconds a second are tenths of a percent.
    recordCorePercent: toPerSecond(recordCpuMs) / 10,
    recordBytesPerSecond: toPerSecond(
      slopes.estimateAt(
        'config.gate_delta_bytes_by_accounts',
        DESIGN_SIZE.accounts,
      ),
    ),
  };
}

function buildAgentLoad(slopes: SlopeTable): RoleLoad {
  const requestsPerSecond = DESIGN_SIZE.requestsPerSecond / DESIGN_SIZE.targets;
  const targetsPerModel = DESIGN_SIZE.targets / DESIGN_SIZE.models;
  const keys = requestsPerSecond * KEYED_REQUEST_SHARE * KEY_RETENTION_S;
  return {
    role: 'agent',
    links: (DESIGN_SIZE.gates * DESIGN_SETTINGS.subsetSize) / targetsPerModel,
    requestsPerSecond,
    piecesPerSecond: DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.targets,
    stateMb:
      slopes.estimateAt('agent.rss_mb_by_links', 0) +
      slopes.readSlope('agent.rss_mb_by_ledger_keys') * keys,
    state: `${keys.toFixed(0)} keys in the ledger`,
    recordCorePercent: 0,
    recordBytesPerSecond: toPerSecond(
      slopes.estimateAt(
        'config.agent_delta_bytes_by_accounts',
        DESIGN_SIZE.accounts,
      ),
    ),
  };
}

function listRoleFigures(
  slopes: SlopeTable,
  load: RoleLoad,
): readonly FigureRow[] {
  const {role, links, requestsPerSecond, piecesPerSecond} = load;
  const promptKb = requestsPerSecond * MEAN_PROMPT_KB;
  const readSlope = (name: string) => slopes.readSlope(`${role}.${name}`);
  const idleBytes = toDesignHeartbeat(
    readSlope('control_bytes_s_by_links') * links,
  );
  const callBytes = readSlope('control_bytes_s_by_calls_s') * requestsPerSecond;
  const idleCore =
    slopes.estimateAt(`${role}.idle_core_percent_by_links`, 0) +
    toDesignHeartbeat(readSlope('idle_core_percent_by_links') * links);
  const traffic = `${requestsPerSecond.toFixed(2)} requests/s`;
  const heartbeat = `${links.toFixed(0)} links at a ${DESIGN_SETTINGS.heartbeatMs / 1000} s heartbeat`;
  return [
    {
      role,
      figure: 'memory',
      derivation: `${load.state}, ${links.toFixed(0)} links`,
      value: load.stateMb + readSlope('rss_mb_by_links') * links,
      unit: 'MB',
      budget: CONTROL_BUDGET.memoryMb,
    },
    {
      role,
      figure: 'processor time, control',
      derivation: `${heartbeat} + ${DESIGN_SIZE.changesPerDay} changes a day`,
      value: idleCore + load.recordCorePercent,
      unit: '% of a core',
      budget: CONTROL_BUDGET.corePercent,
    },
    {
      role,
      figure: 'control bytes',
      derivation: `${heartbeat} (${idleBytes.toFixed(0)}) + ${traffic} (${callBytes.toFixed(0)}) + changes (${load.recordBytesPerSecond.toFixed(0)})`,
      value: idleBytes + callBytes + load.recordBytesPerSecond,
      unit: 'bytes/s',
      budget: CONTROL_BUDGET.bytesPerSecond,
    },
    {
      role,
      figure: 'processor time, traffic',
      derivation: `${traffic}, ${piecesPerSecond.toFixed(0)} pieces/s, ${promptKb.toFixed(0)} KB/s of prompts`,
      value:
        readSlope('core_percent_by_calls_s') * requestsPerSecond +
        readSlope('core_percent_by_pieces_s') * piecesPerSecond +
        readSlope('core_percent_by_prompt_kb_s') * promptKb,
      unit: '% of a core',
    },
  ];
}

/** Time in which a change must be in force everywhere (letter 1), in ms. */
const PROPAGATION_LIMIT_MS = 8000;

/** Reads a second that the service answers, across all readers (brief). */
const CONFIG_READS_PER_SECOND = 2000;

function listConfigFigures(slopes: SlopeTable): readonly FigureRow[] {
  const readers = DESIGN_SIZE.gates + DESIGN_SIZE.targets;
  const perChange = (DESIGN_SIZE.changesPerDay * readers) / SECONDS_PER_DAY;
  const idle = slopes.estimateAt('config.reads_s_by_readers', readers);
  return [
    {
      role: 'configuration',
      figure: 'change in force at every reader',
      derivation: `${readers} readers, slowest of ten changes`,
      value: slopes.estimateAt('config.in_force_ms_by_readers', readers),
      unit: 'ms',
      budget: PROPAGATION_LIMIT_MS,
    },
    {
      role: 'configuration',
      figure: 'reads of the service',
      derivation: `${readers} watches of 25 s (${idle.toFixed(0)}) + ${DESIGN_SIZE.changesPerDay} changes a day (${perChange.toFixed(1)})`,
      value: idle + perChange,
      unit: 'reads/s',
      budget: CONFIG_READS_PER_SECOND,
    },
    {
      role: 'configuration',
      figure: 'whole record',
      derivation: `${DESIGN_SIZE.accounts} accounts, ${DESIGN_SIZE.targets} targets`,
      value: slopes.estimateAt(
        'config.record_bytes_by_accounts',
        DESIGN_SIZE.accounts,
      ),
      unit: 'bytes',
      budget: 1_048_576,
    },
  ];
}

function formatRow(row: FigureRow): string {
  const budget = row.budget === undefined ? '–' : String(row.budget);
  const verdict =
    row.budget === undefined ? '–' : row.value <= row.budget ? 'yes' : '**no**';
  const value = row.value.toPrecision(4);
  return `| ${[row.role, row.figure, row.derivation, `${value} ${row.unit}`, budget, verdict].join(' | ')} |`;
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
