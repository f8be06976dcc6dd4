/**
 * Loads the latency objectives of routes from a file of the user, because gates
 * do not log them.
 */
import {loadSettings} from '@nutmeggauge/core';
import {z} from 'zod';

const ObjectiveSchema = z.strictObject({
  /**
   * Largest time to the first token of a stream, or to the complete answer of a
   * call, in ms.
   */
  ttftMs: z.number().positive(),
  /** Largest inter-token latency of a stream, in ms. */
  itlMs: z.number().positive().optional(),
});

const ObjectivesSchema = z.strictObject({
  /** Objectives by route name. */
  routes: z.record(z.string(), ObjectiveSchema).default({}),
  /** Objective of the routes that `routes` does not contain. */
  others: ObjectiveSchema.optional(),
});

export type Objective = z.output<typeof ObjectiveSchema>;
export type Objectives = z.output<typeof ObjectivesSchema>;

/** Empty objectives, by which no answer counts as late. */
export const NO_OBJECTIVES: Objectives = {routes: {}};

/**
 * Loads the latency objectives from a file.
 *
 * @throws SettingsError when the file cannot be read or a key is invalid.
 * @example
 * loadObjectives('objectives.yaml').routes.chat.ttftMs; // 300
 */
export function loadObjectives(path: string): Objectives {
  return loadSettings(ObjectivesSchema, path);
}

/**
 * Finds the latency objective of a route.
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
