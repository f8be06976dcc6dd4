/**
 * Experiment files of `nutmeggauge bench`: one deployment, one load, and the
 * variants of the system that are compared under it.
 */
import {SHORT_MAX_TOKENS, loadSettings} from '@nutmeggauge/core';
import {z} from 'zod';
import {FaultSchema} from '../faults/schedule.js';
import type {DemoAccount} from '../defaults.js';
import type {WorkloadSpec} from '../load/workload.js';

const VariantSchema = z.object({
  name: z.string().min(1),
  /** Settings of every gate, over the defaults. */
  gate: z.record(z.string(), z.unknown()).default({}),
  /** Settings of every agent, over the defaults. */
  agent: z.record(z.string(), z.unknown()).default({}),
});

export const ExperimentSchema = z.object({
  name: z.string().min(1),
  seed: z.number().int().default(20261202),
  cluster: z.object({
    engines: z.number().int().min(1).max(64),
    plainServices: z.number().int().min(0).max(16),
    gates: z.number().int().min(1).max(16),
    /** Prompt tokens that one engine reads a second. */
    prefillRate: z.number().positive(),
    /** Most prompt tokens that an engine reads in one step. */
    chunkTokens: z.number().int().positive(),
  }),
  callers: z.object({
    /** Time between a caller and a gate, one way, in ms. */
    distanceMs: z.number().min(0),
    accounts: z.number().int().min(1),
    /** Of these, how many are large, and their share of the requests. */
    largeAccounts: z.number().int().min(0),
    largeShare: z.number().min(0).max(1),
  }),
  load: z.object({
    /** Completions a second (Poisson arrivals). */
    ratePerSecond: z.number().positive().max(500),
    /** How long the mixed load runs, in s. */
    durationSeconds: z.number().positive().max(600),
    /** How long the short prompts run alone, in s. */
    aloneSeconds: z.number().positive().max(600),
    longShare: z.number().positive().max(1),
    minPromptTokens: z.number().int().positive(),
    maxPromptTokens: z.number().int().positive(),
    longThresholdTokens: z.number().int().positive(),
    sharedPrefixTokens: z.number().int().min(0),
    sharedPrefixShare: z.number().min(0).max(1),
    maxNewTokens: z.number().int().positive(),
    /** Not-repeatable orders a second, and the share that is sent twice. */
    ordersPerSecond: z.number().min(0),
    repeatedOrderShare: z.number().min(0).max(1),
    /** Window of every request, in ms. */
    windowMs: z.number().int().positive(),
  }),
  faults: z.array(FaultSchema).default([]),
  /** The first one is the baseline that the others are compared with. */
  variants: z.array(VariantSchema).min(1),
});

export type Experiment = z.output<typeof ExperimentSchema>;
export type Variant = Experiment['variants'][number];

/**
 * Reads and checks an experiment file.
 *
 * @throws SettingsError when the file cannot be read or a key is bad.
 * @example
 * const experiment = loadExperiment('experiments/hinokuni.yaml');
 */
export function loadExperiment(path: string): Experiment {
  return loadSettings(ExperimentSchema, path);
}

/**
 * Builds the accounts of an experiment.
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

/** Entries of the key list that stand for the whole of the requests. */
const KEY_LIST_LENGTH = 100;

/** Lists keys so that a uniform draw gives the large accounts their share. */
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

/** Which part of the load a run sends. */
export type LoadPhase = 'mixed' | 'short-alone';

/**
 * Builds the workload of one run.
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
