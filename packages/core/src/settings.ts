/**
 * Reads a YAML settings file and checks it against a zod schema. A bad file
 * fails with a SettingsError naming the file and every bad key.
 */
import {parse as parseYaml} from 'yaml';
import {SettingsError} from './errors.js';
import {describeIssues, readSettingsText} from './settings-text.js';
import type {z} from 'zod';

/**
 * Parses YAML text and validates it.
 *
 * @param source - Where the text came from, for the error message.
 * @throws SettingsError when the YAML does not parse or a key is bad.
 * @example
 * const settings = parseSettings(GateSettingsSchema, 'id: gate-1\n...', 'inline');
 */
export function parseSettings<S extends z.ZodType>(
  schema: S,
  text: string,
  source: string,
): z.output<S> {
  let raw: unknown;
  try {
    raw = parseYaml(text);
  } catch (cause) {
    throw new SettingsError(
      {cause: cause as Error, info: {source}},
      `${source}: not valid YAML`,
    );
  }
  const result = schema.safeParse(raw ?? {});
  if (!result.success) {
    const detail = describeIssues(result.error.issues);
    throw new SettingsError(
      {info: {source, issues: result.error.issues}},
      `${source}: ${detail}`,
    );
  }
  return result.data;
}

/**
 * Reads and validates a YAML settings file.
 *
 * @throws SettingsError when the file is missing, not YAML, or a key is bad.
 * @example
 * const settings = loadSettings(AgentSettingsSchema, 'agent.yaml');
 */
export function loadSettings<S extends z.ZodType>(
  schema: S,
  path: string,
): z.output<S> {
  return parseSettings(schema, readSettingsText(path), path);
}
