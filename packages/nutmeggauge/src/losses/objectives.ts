/** Latency objectives of routes, given by the user: gates do not log them. */
import {loadSettings} from '@nutmeggauge/core';
import {z} from 'zod';

const ObjectiveSchema = z.strictObject({
  /** Time to first token of a stream, complete answer of a call, in ms. */
  ttftMs: z.number().positive(),
  /** Largest inter-token latency of a stream, in ms. */
  itlMs: z.number().positive().optional(),
});

const ObjectivesSchema = z.strictObject({
  /** For each route by its name. */
  routes: z.record(z.string(), ObjectiveSchema).default({}),
  /** For every other route. */
  others: ObjectiveSchema.optional(),
});

export type Objective = z.output<typeof ObjectiveSchema>;
export type Objectives = z.output<typeof ObjectivesSchema>;

/** Without objectives nothing is late. */
export const NO_OBJECTIVES: Objectives = {routes: {}};

/**
 * Reads the file of objectives.
 *
 * @throws SettingsError when it cannot be read or a key is bad.
 * @example
 * loadObjectives('objectives.yaml').routes.chat.ttftMs; // 300
 */
export function loadObjectives(path: string): Objectives {
  return loadSettings(ObjectivesSchema, path);
}

/**
 * Finds the objective of a route.
 *
 * @example
 * findObjective(objectives, 'chat');
 */
export function findObjective(
  objectives: Objectives,
  route: string,
): Objective | undefined {
  const {routes, others} = objectives;
  return Object.hasOwn(routes, route) ? routes[route] : others;
}
