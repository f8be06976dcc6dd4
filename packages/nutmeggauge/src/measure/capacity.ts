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

/**
 * Lists every figure at the letter's size.
 *
 * @example
 * listFigures(measurement).filter(row => row.budget !== undefined);
 */
export function listFigures(measurement: Measurement): readonly Row[] {
  const slopes = new Slopes(measurement);
  const targetsPerModel = SIZE.targets / SIZE.models;
  const gateLinks = SIZE.models * SETTINGS.subsetSize;
  const agentLinks = (SIZE.gates * SETTINGS.subsetSize) / targetsPerModel;
  return [
    ...listGateFigures(slopes, gateLinks),
    ...listAgentFigures(slopes, agentLinks),
    ...listConfigFigures(slopes),
  ];
}

/** Idle bytes at the heartbeat of that size, from those measured at 1 s. */
function toLongHeartbeat(bytesPerSecond: number): number {
  return (bytesPerSecond * MEASURED_HEARTBEAT_MS) / SETTINGS.heartbeatMs;
}

function listGateFigures(slopes: Slopes, links: number): readonly Row[] {
  const requests = SIZE.requestsPerSecond / SIZE.gates;
  const pieces = SIZE.tokensPerSecond / SIZE.gates;
  const promptKb = requests * PROMPT_KB_PER_REQUEST;
  const idleBytes = toLongHeartbeat(
    slopes.readSlope('gate.control_bytes_s_by_links') * links,
  );
  const callBytes =
    slopes.readSlope('gate.control_bytes_s_by_calls_s') * requests;
  const configBytes =
    (slopes.readAt('config.gate_delta_bytes_by_accounts', SIZE.accounts) *
      SIZE.changesPerDay) /
    SECONDS_PER_DAY;
  const memory =
    slopes.readAt('gate.rss_mb_by_accounts', SIZE.accounts) +
    slopes.readSlope('gate.rss_mb_by_targets') * SIZE.targets +
    slopes.readSlope('gate.rss_mb_by_links') * links;
  const recordCpu =
    (slopes.readAt('gate.record_cpu_ms_by_accounts', SIZE.accounts) *
      SIZE.changesPerDay) /
    SECONDS_PER_DAY /
    10;
  const idleCpu =
    slopes.readAt('gate.idle_core_percent_by_links', 0) +
    toLongHeartbeat(
      slopes.readSlope('gate.idle_core_percent_by_links') * links,
    );
  const dataCpu =
    slopes.readSlope('gate.core_percent_by_calls_s') * requests +
    slopes.readSlope('gate.core_percent_by_pieces_s') * pieces +
    slopes.readSlope('gate.core_percent_by_prompt_kb_s') * promptKb;
  return [
    {
      role: 'gate',
      figure: 'memory',
      working: `record of ${SIZE.accounts} accounts and ${SIZE.targets} targets, ${links} links`,
      value: memory,
      unit: 'MB',
      budget: BUDGET.memoryMb,
    },
    {
      role: 'gate',
      figure: 'processor time, control',
      working: `${links} idle links at a ${SETTINGS.heartbeatMs / 1000} s heartbeat + ${SIZE.changesPerDay} records a day`,
      value: idleCpu + recordCpu,
      unit: '% of a core',
      budget: BUDGET.corePercent,
    },
    {
      role: 'gate',
      figure: 'control bytes',
      working: `${links} heartbeats each ${SETTINGS.heartbeatMs / 1000} s (${idleBytes.toFixed(0)}) + ${requests.toFixed(2)} requests/s (${callBytes.toFixed(0)}) + changes (${configBytes.toFixed(0)})`,
      value: idleBytes + callBytes + configBytes,
      unit: 'bytes/s',
      budget: BUDGET.bytesPerSecond,
    },
    {
      role: 'gate',
      figure: 'processor time, traffic',
      working: `${requests.toFixed(2)} requests/s, ${pieces.toFixed(0)} pieces/s, ${promptKb.toFixed(0)} KB/s of prompts`,
      value: dataCpu,
      unit: '% of a core',
    },
  ];
}

function listAgentFigures(slopes: Slopes, links: number): readonly Row[] {
  const requests = SIZE.requestsPerSecond / SIZE.targets;
  const pieces = SIZE.tokensPerSecond / SIZE.targets;
  const promptKb = requests * PROMPT_KB_PER_REQUEST;
  const keys = requests * KEYED_SHARE * RETAIN_S;
  const idleBytes = toLongHeartbeat(
    slopes.readSlope('agent.control_bytes_s_by_links') * links,
  );
  const callBytes =
    slopes.readSlope('agent.control_bytes_s_by_calls_s') * requests;
  const configBytes =
    (slopes.readAt('config.agent_delta_bytes_by_accounts', SIZE.accounts) *
      SIZE.changesPerDay) /
    SECONDS_PER_DAY;
  const memory =
    slopes.readAt('agent.rss_mb_by_links', links) +
    slopes.readSlope('agent.rss_mb_by_ledger_keys') * keys;
  const idleCpu =
    slopes.readAt('agent.idle_core_percent_by_links', 0) +
    toLongHeartbeat(
      slopes.readSlope('agent.idle_core_percent_by_links') * links,
    );
  const dataCpu =
    slopes.readSlope('agent.core_percent_by_calls_s') * requests +
    slopes.readSlope('agent.core_percent_by_pieces_s') * pieces +
    slopes.readSlope('agent.core_percent_by_prompt_kb_s') * promptKb;
  return [
    {
      role: 'agent',
      figure: 'memory',
      working: `${links.toFixed(0)} links, ${keys.toFixed(0)} keys in the ledger`,
      value: memory,
      unit: 'MB',
      budget: BUDGET.memoryMb,
    },
    {
      role: 'agent',
      figure: 'processor time, control',
      working: `${links.toFixed(0)} idle links at a ${SETTINGS.heartbeatMs / 1000} s heartbeat`,
      value: idleCpu,
      unit: '% of a core',
      budget: BUDGET.corePercent,
    },
    {
      role: 'agent',
      figure: 'control bytes',
      working: `heartbeats (${idleBytes.toFixed(0)}) + ${requests.toFixed(2)} requests/s (${callBytes.toFixed(0)}) + changes (${configBytes.toFixed(0)})`,
      value: idleBytes + callBytes + configBytes,
      unit: 'bytes/s',
      budget: BUDGET.bytesPerSecond,
    },
    {
      role: 'agent',
      figure: 'processor time, traffic',
      working: `${requests.toFixed(2)} requests/s, ${pieces.toFixed(0)} pieces/s, ${promptKb.toFixed(0)} KB/s of prompts`,
      value: dataCpu,
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
