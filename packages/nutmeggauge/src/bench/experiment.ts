/**
 * Schema of the experiment files of `nutmeggauge bench`: one deployment, one
 * workload, and the variants of the system to compare under that workload.
 */
import {SHORT_MAX_TOKENS, loadSettings} from '@nutmeggauge/core';
import {z} from 'zod';
import {FaultSchema} from '../faults/schedule.js';
import type {DemoAccount} from '../defaults.js';
import type {WorkloadSpec} from '../load/workload.js';

const VariantSchema = z.object({
  name: z.string().min(1),
  /** Settings of every gate that override the defaults. */
  gate: z.record(z.string(), z.unknown()).default({}),
  /** Settings of every agent that override the defaults. */
  agent: z.record(z.string(), z.unknown()).default({}),
});

export const ExperimentSchema = z.object({
  name: z.string().min(1),
  seed: z.number().int().default(20261202),
  cluster: z.object({
    engines: z.number().int().min(1).max(64),
    plainServices: z.number().int().min(0).max(16),
    gates: z.number().int().min(1).max(16),
    /** Prefill throughput of one engine, in tokens per second. */
    prefillRate: z.number().positive(),
    /** Maximum number of prompt tokens that an engine prefills in one step. */
    chunkTokens: z.number().int().positive(),
  }),
  callers: z.object({
    /** One-way network latency between a caller and a gate, in ms. */
    distanceMs: z.number().min(0),
    accounts: z.number().int().min(1),
    /** Number of client accounts that count as large. */
    largeAccounts: z.number().int().min(0),
    /** Share of the requests that the large accounts send together, 0 to 1. */
    largeShare: z.number().min(0).max(1),
  }),
  load: z.object({
    /** Mean arrival rate of completions per second (Poisson process). */
    ratePerSecond: z.number().positive().max(500),
    /** Duration of the mixed load, in s. */
    durationSeconds: z.number().positive().max(600),
    /** Duration of the baseline load that sends only short prompts, in s. */
    aloneSeconds: z.number().positive().max(600),
    longShare: z.number().positive().max(1),
    minPromptTokens: z.number().int().positive(),
    maxPromptTokens: z.number().int().positive(),
    longThresholdTokens: z.number().int().positive(),
    sharedPrefixTokens: z.number().int().min(0),
    sharedPrefixShare: z.number().min(0).max(1),
    maxNewTokens: z.number().int().positive(),
    /** Non-idempotent order calls per second. */
    ordersPerSecond: z.number().min(0),
    /** Share of the orders that callers send twice, 0 to 1. */
    repeatedOrderShare: z.number().min(0).max(1),
    /** Time from sending a request to its deadline, in ms. */
    windowMs: z.number().int().positive(),
  }),
  faults: z.array(FaultSchema).default([]),
  /** Variants to compare; the first variant is the baseline. */
  variants: z.array(VariantSchema).min(1),
});

export type Experiment = z.output<typeof ExperimentSchema>;
export type Variant = Experiment['variants'][number];

/**
 * Reads and validates an experiment file.
 *
 * @throws SettingsError if the file cannot be read or a key is invalid.
 * @example
 * const experiment = loadExperiment('experiments/hinokuni.yaml');
 */
export function loadExperiment(path: string): Experiment {
  return loadSettings(ExperimentSchema, path);
}

/**
 * Builds the client accounts of an experiment.
 *
 * @example
 * buildAccounts(experiment).length; // 10
 */
export function buildAccounts(experiment: Experiment): DemoAccount[] {
  return Array.from({length: experiment.callers.accounts}, (_, i) => ({
    id: `account-${i + 1}`,
    key: `bench-key-${String(i + 1).padStart(4, '0')}`,
    pools: ['chat', 'orders'],
  }));
}

/** Length of the weighted key list: one entry per percent of the requests. */
const KEY_LIST_LENGTH = 100;

/**
 * Builds a list of API keys in which keys repeat so that a uniform draw gives
 * the large accounts their share of the requests.
 */
function buildWeightedKeys(experiment: Experiment): string[] {
  const keys = buildAccounts(experiment).map(account => account.key);
  const {largeAccounts, largeShare} = experiment.callers;
  if (largeAccounts === 0 || largeAccounts >= keys.length) return keys;
  const large = keys.slice(0, largeAccounts);
  const small = keys.slice(largeAccounts);
  const largeCount = Math.round(KEY_LIST_LENGTH * largeShare);
  return Array.from({length: KEY_LIST_LENGTH}, (_, i) =>
    i < largeCount ? large[i % large.length] : small[i % small.length],
  );
}

/**
 * Phase of a benchmark run: all prompt lengths and orders (`mixed`), or only
 * short prompts as the baseline (`short-alone`).
 */
export type LoadPhase = 'mixed' | 'short-alone';

/**
 * Builds the workload of one phase.
 *
 * @example
 * planWorkload(buildWorkload(experiment, 'mixed')).length;
 */
export function buildWorkload(
  experiment: Experiment,
  phase: LoadPhase,
): WorkloadSpec {
  const {load, seed} = experiment;
  const isMixed = phase === 'mixed';
  const seconds = isMixed ? load.durationSeconds : load.aloneSeconds;
  const orders = Math.round(load.ordersPerSecond * seconds);
  const keys = buildWeightedKeys(experiment);
  return {
    ...load,
    seed,
    requests: Math.round(load.ratePerSecond * seconds),
    keys,
    orderKeys: keys,
    orders: isMixed ? orders : 0,
    repeatedOrders: isMixed ? Math.round(orders * load.repeatedOrderShare) : 0,
    onlyUpToTokens: isMixed ? undefined : SHORT_MAX_TOKENS,
  };
}
