/**
 * What settings files of every format share: reading the text and naming the
 * keys that are bad. Apart from the YAML parser, which a program with settings
 * of another format does not load.
 */
import {readFileSync} from 'node:fs';
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
