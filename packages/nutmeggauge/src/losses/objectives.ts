/**
 * The objectives of routes, as the user gives them: gates don't write them.
 */
import {loadSettings} from '@nutmeggauge/core';
import {z} from 'zod';

const ObjectiveSchema = z.strictObject({
  /** First event of a stream, whole answer of a call, in ms. */
  firstMs: z.number().positive(),
  /** Longest pause between two events of a stream, in ms. */
  pauseMs: z.number().positive().optional(),
});

const ObjectivesSchema = z.strictObject({
  /** For each route by its name. */
  routes: z.record(z.string(), ObjectiveSchema).default({}),
  /** For every other route. */
  others: ObjectiveSchema.optional(),
});

export type Objective = z.output<typeof ObjectiveSchema>;
export type Objectives = z.output<typeof ObjectivesSchema>;

/** No objective for any route: nothing can be called late. */
export const NO_OBJECTIVES: Objectives = {routes: {}};

/**
 * Reads the file of objectives.
 *
 * @throws SettingsError when it cannot be read or a key is bad.
 * @example
 * loadObjectives('objectives.yaml').routes.chat.firstMs; // 300
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
