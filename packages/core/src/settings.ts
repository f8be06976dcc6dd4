/**
 * Loading of YAML settings files with validation against a zod schema. An
 * invalid file raises a SettingsError that names the file and all invalid keys.
 */
import {parse as parseYaml} from 'yaml';
import {SettingsError} from './errors.js';
import {describeIssues, readSettingsText} from './settings-text.js';
import type {z} from 'zod';

/**
 * Parses YAML text and validates it against a schema.
 *
 * @param source - Origin of the text, such as its path, for the error message.
 * @throws SettingsError when the text is not valid YAML or a key is invalid.
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
 * @throws SettingsError when the file cannot be read, is not valid YAML, or a
 *   key is invalid.
 * @example
 * const settings = loadSettings(AgentSettingsSchema, 'agent.yaml');
 */
export function loadSettings<S extends z.ZodType>(
  schema: S,
  path: string,
): z.output<S> {
  return parseSettings(schema, readSettingsText(path), path);
}
