/**
 * Helpers for settings files of any format: reading the text and describing
 * invalid keys. Kept separate from the YAML parser, so that programs with
 * settings in another format do not load it.
 */
import {readFileSync} from 'node:fs';
import {SettingsError} from './errors.js';
import type {z} from 'zod';

/**
 * Formats zod issues as `key.path: message`, separated by semicolons.
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
