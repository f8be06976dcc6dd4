/**
 * Fits the slopes that gates and agents share: cost by links, by requests, and
 * by streamed chunks and prompt text. The caller provides a function that
 * measures one process of its role under a given load.
 */
import {waitMs} from '@nutmeggauge/core';
import {fitSlope} from './fit.js';
import type {Slope} from './fit.js';
import type {MeasuredProcess} from './measured-process.js';

/** Role of the measured process. */
export type MeasuredRole = 'gate' | 'agent';

/** Idle time before a measurement, in ms. */
export const SETTLE_MS = 2000;

/** Duration of one measurement, idle or under load, in ms. */
export const MEASURE_MS = 6000;

/** Number of tokens of each streamed answer. */
export const STREAM_TOKENS = 100;

type Points = Array<[number, number]>;

/** CPU time and control bytes over one measured interval. */
export interface IntervalUsage {
  /** Mean CPU usage, in % of a core. */
  readonly corePercent: number;
  readonly bytesPerSecond: number;
}

/**
 * Measures a process for `MEASURE_MS` while `load` runs.
 *
 * @param readBytes - Returns the number of control bytes so far.
 * @example
 * await measureInterval(gate, readBytes, sendCalls);
 */
export async function measureInterval(
  measuredProcess: MeasuredProcess,
  readBytes: () => number | Promise<number>,
  load: () => Promise<unknown> = async () => {},
): Promise<IntervalUsage> {
  await waitMs(SETTLE_MS);
  const before = await readBytes();
  const [corePercent] = await Promise.all([
    measuredProcess.measureCorePercent(MEASURE_MS),
    load(),
  ]);
  const bytes = (await readBytes()) - before;
  return {corePercent, bytesPerSecond: bytes / (MEASURE_MS / 1000)};
}

/**
 * Calls `send` at a constant rate for `MEASURE_MS` and waits for all answers.
 *
 * @example
 * await sendAtRate(20, i => call(i));
 */
export async function sendAtRate(
  ratePerSecond: number,
  send: (index: number) => Promise<unknown>,
): Promise<void> {
  const total = Math.round((ratePerSecond * MEASURE_MS) / 1000);
  await Promise.all(
    Array.from({length: total}, async (_, i) => {
      await waitMs((i * 1000) / ratePerSecond);
      await send(i);
    }),
  );
}

/** Fits memory, idle CPU time and idle control bytes by number of links. */
export async function fitLinks(
  role: MeasuredRole,
  counts: readonly number[],
  measureAt: (
    links: number,
  ) => Promise<IntervalUsage & {readonly rssMb: number}>,
): Promise<Slope[]> {
  const rss: Points = [];
  const cpu: Points = [];
  const bytes: Points = [];
  for (const links of counts) {
    const interval = await measureAt(links);
    rss.push([links, interval.rssMb]);
    cpu.push([links, interval.corePercent]);
    bytes.push([links, interval.bytesPerSecond]);
  }
  return [
    fitSlope(`${role}.rss_mb_by_links`, 'links', 'MB', rss),
    fitSlope(`${role}.idle_core_percent_by_links`, 'links', '% of a core', cpu),
    fitSlope(
      `${role}.control_bytes_s_by_links`,
      'idle links',
      'bytes/s',
      bytes,
    ),
  ];
}

/** Fits CPU time by plain calls per second. */
export async function fitCalls(
  role: MeasuredRole,
  rates: readonly number[],
  measureAt: (ratePerSecond: number) => Promise<IntervalUsage>,
): Promise<Slope> {
  const cpu: Points = [];
  for (const rate of rates)
    cpu.push([rate, (await measureAt(rate)).corePercent]);
  const xName = 'plain calls a second (8 links)';
  return fitSlope(`${role}.core_percent_by_calls_s`, xName, '% of a core', cpu);
}

/**
 * Fits control bytes by plain calls per second, spread over as many links as at
 * the design size. At that size only few links are in use at a time; calls over
 * a few busy links would have a different cost.
 */
export async function fitSparseCalls(
  role: MeasuredRole,
  links: number,
  rates: readonly number[],
  measureAt: (ratePerSecond: number) => Promise<IntervalUsage>,
): Promise<Slope> {
  const bytes: Points = [];
  for (const rate of rates)
    bytes.push([rate, (await measureAt(rate)).bytesPerSecond]);
  const xName = `plain calls a second over ${links} links`;
  return fitSlope(
    `${role}.control_bytes_s_by_calls_s`,
    xName,
    'bytes/s',
    bytes,
  );
}

/** Rates at which streamed chunks are measured, in requests per second. */
const STREAM_RATES = [1, 5, 15, 30];
/** Prompt lengths at which the cost of prompt text is measured, in KB. */
const PROMPT_KB = [1, 100, 400, 1000];
/** Request rate while the prompt length varies, in requests per second. */
const PROMPT_RATE = 2;
const SHORT_PROMPT_CHARS = 400;

/** Fits CPU time by streamed chunks per second and by prompt KB per second. */
export async function fitStreams(
  role: MeasuredRole,
  measureAt: (ratePerSecond: number, prompt: string) => Promise<IntervalUsage>,
): Promise<Slope[]> {
  const byChunks: Points = [];
  for (const rate of STREAM_RATES) {
    const prompt = 'p'.repeat(SHORT_PROMPT_CHARS);
    const {corePercent} = await measureAt(rate, prompt);
    byChunks.push([rate * STREAM_TOKENS, corePercent]);
  }
  const byPrompt: Points = [];
  for (const kb of PROMPT_KB) {
    const {corePercent} = await measureAt(PROMPT_RATE, 'p'.repeat(kb * 1000));
    byPrompt.push([kb * PROMPT_RATE, corePercent]);
  }
  return [
    fitSlope(
      `${role}.core_percent_by_pieces_s`,
      'streamed pieces a second',
      '% of a core',
      byChunks,
    ),
    fitSlope(
      `${role}.core_percent_by_prompt_kb_s`,
      'prompt text, KB a second',
      '% of a core',
      byPrompt,
    ),
  ];
}
