/**
 * Reads a YAML settings file and checks it against a zod schema. A bad file
 * fails with a SettingsError naming the file and every bad key.
 */
import {readFileSync} from 'node:fs';
import {parse as parseYaml} from 'yaml';
import {SettingsError} from './errors.js';
import type {z} from 'zod';

/**
 * Formats zod issues as `key.path: message` lines.
 *
 * @example
 * describeIssues(result.error.issues); // 'listen.port: Expected number'
 */
export function describeIssues(issues: readonly z.core.$ZodIssue[]): string {
  return issues
    .map(
      issue =>
        `${issue.path.length > 0 ? issue.path.join('.') : '(root)'}: ${issue.message}`,
    )
    .join('; ');
}

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
 * Reads the text of a settings file.
 *
 * @throws SettingsError when the file cannot be read.
 * @example
 * readSettingsText('agent.yaml');
 */
export function readSettingsText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new SettingsError(
      {cause: cause as Error, info: {source: path}},
      `${path}: cannot be read`,
    );
  }
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
