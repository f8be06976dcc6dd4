/**
 * Estimates from measured slopes which resources each role needs at the design
 * size, and compares them with the budget for control overhead.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Measurement} from './measure.js';

/** Deployment size and traffic that users require the system to support. */
const DESIGN_SIZE = {
  gates: 350,
  targets: 1500,
  requestsPerSecond: 1200,
  tokensPerSecond: 320_000,
  accounts: 3700,
  models: 25,
  changesPerDay: 910,
} as const;

/** Limits that users set for the control overhead of one node. */
const CONTROL_BUDGET = {
  corePercent: 4.5,
  memoryMb: 256,
  bytesPerSecond: 3000,
} as const;

/** Settings of gates and agents at the design size. */
const DESIGN_SETTINGS = {
  /** `routing.subsetSize`: number of targets per pool that a gate links to. */
  subsetSize: 4,
  /** `heartbeatMs` of the agents: their heartbeat interval, in ms. */
  heartbeatMs: 10_000,
} as const;

/** Heartbeat interval during the measurement of the slopes by links, in ms. */
const MEASURED_HEARTBEAT_MS = 1000;

/** Mean prompt length per request, in KB: 29,000 tokens of 4 characters. */
const MEAN_PROMPT_KB = 116;

const SECONDS_PER_DAY = 86_400;

/** Share of requests that carry an idempotency key, 0 to 1. */
const KEYED_REQUEST_SHARE = 0.1;
/** Time for which an agent's ledger retains an idempotency key, in s. */
const KEY_RETENTION_S = 900;

interface FigureRow {
  readonly role: 'gate' | 'agent' | 'configuration';
  readonly figure: string;
  readonly derivation: string;
  readonly value: number;
  readonly unit: string;
  readonly budget?: number;
}

/** Looks up measured slopes by name; values are NaN if the name is missing. */
class SlopeTable {
  constructor(private readonly measurement: Measurement) {}

  /** Returns the slope: the cost of one more link, request or other unit. */
  readSlope(name: string): number {
    return this.find(name).slope;
  }

  /** Returns the value of the fitted line at `x`. */
  estimateAt(name: string, x: number): number {
    const {slope, intercept} = this.find(name);
    return intercept + slope * x;
  }

  private find(name: string) {
    const found = this.measurement.slopes.find(s => s.name === name);
    return found ?? {slope: NaN, intercept: NaN};
  }
}

/** Load on one process of a role at the design size. */
interface RoleLoad {
  readonly role: 'gate' | 'agent';
  readonly links: number;
  readonly requestsPerSecond: number;
  readonly chunksPerSecond: number;
  /** Memory without that of the links, in MB. */
  readonly stateMb: number;
  /** Description of the state that `stateMb` holds. */
  readonly state: string;
  /** CPU time for applying configuration records, in % of a core. */
  readonly recordCorePercent: number;
  readonly recordBytesPerSecond: number;
}

/**
 * Returns the estimated figures of every role at the design size.
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

/** Scales an idle cost measured at a 1 s heartbeat to the design heartbeat. */
function toDesignHeartbeat(perSecond: number): number {
  return (perSecond * MEASURED_HEARTBEAT_MS) / DESIGN_SETTINGS.heartbeatMs;
}

/** Converts a cost per configuration change to a mean cost per second. */
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
    chunksPerSecond: DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.gates,
    stateMb:
      slopes.estimateAt('gate.rss_mb_by_accounts', DESIGN_SIZE.accounts) +
      slopes.readSlope('gate.rss_mb_by_targets') * DESIGN_SIZE.targets,
    state: `record of ${DESIGN_SIZE.accounts} accounts and ${DESIGN_SIZE.targets} targets`,
    // One ms of CPU time per second is a tenth of a percent of a core.
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
    chunksPerSecond: DESIGN_SIZE.tokensPerSecond / DESIGN_SIZE.targets,
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
  const {role, links, requestsPerSecond, chunksPerSecond} = load;
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
      derivation: `${traffic}, ${chunksPerSecond.toFixed(0)} pieces/s, ${promptKb.toFixed(0)} KB/s of prompts`,
      value:
        readSlope('core_percent_by_calls_s') * requestsPerSecond +
        readSlope('core_percent_by_pieces_s') * chunksPerSecond +
        readSlope('core_percent_by_prompt_kb_s') * promptKb,
      unit: '% of a core',
    },
  ];
}

/**
 * Time within which users require a change to be in force everywhere, in ms.
 */
const PROPAGATION_LIMIT_MS = 8000;

/** Reads per second that the configuration service answers for all readers. */
const CONFIG_READS_PER_SECOND = 2000;

function listConfigFigures(slopes: SlopeTable): readonly FigureRow[] {
  const readers = DESIGN_SIZE.gates + DESIGN_SIZE.targets;
  const changeReadsPerSecond =
    (DESIGN_SIZE.changesPerDay * readers) / SECONDS_PER_DAY;
  const idleReadsPerSecond = slopes.estimateAt(
    'config.reads_s_by_readers',
    readers,
  );
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
      derivation: `${readers} watches of 25 s (${idleReadsPerSecond.toFixed(0)}) + ${DESIGN_SIZE.changesPerDay} changes a day (${changeReadsPerSecond.toFixed(1)})`,
      value: idleReadsPerSecond + changeReadsPerSecond,
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
 * Reads `measured.json` in `dir` and writes the estimates to `figures.md` in
 * the same directory.
 *
 * @returns Content of `figures.md`.
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
    '# Capacity figures at the design size',
    '',
    `Written by \`nutmeggauge capacity docs/capacity\` from \`measured.json\` (${measurement.measuredAt}); do not edit.`,
    '',
    '| role | figure | derived from | value | budget | within budget |',
    '| --- | --- | --- | --- | --- | --- |',
    ...listFigures(measurement).map(formatRow),
    '',
    '## Measured slopes',
    '',
    '| slope | variable | per unit | at zero | R² | unit |',
    '| --- | --- | --- | --- | --- | --- |',
    ...slopes,
    '',
    '## Time until a gate stops routing to a target',
    '',
    `After its agent starts to drain: ${drainMs.toFixed(0)} ms. After its agent is killed: ${killMs.toFixed(0)} ms. After its agent freezes (heartbeat interval of 1 s): ${freezeMs.toFixed(0)} ms.`,
    '',
  ].join('\n');
  writeFileSync(join(dir, 'figures.md'), text);
  return text;
}
