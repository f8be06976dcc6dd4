/** Lines of gates' decision logs, and files of them, for tests. */
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Fields of a line. */
export type LineFields = Readonly<Record<string, unknown>>;

/** Wall clock at the start of the tests' logs, in ms. */
export const T0 = 1_800_000_000_000;

/**
 * Builds a line of `g1`, `ms` after the start.
 *
 * @example
 * buildLine(0, 'gate_started', {zone: 'a'});
 */
export function buildLine(
  ms: number,
  event: string,
  fields: LineFields = {},
): LineFields {
  return {t: T0 + ms, proc: 'g1', level: 'info', event, ...fields};
}

/**
 * Builds the line of a stream that was sent to engines.
 *
 * @example
 * buildPlaced(10, 'q', {tokens: 90_000, helpers: ['e2']});
 */
export function buildPlaced(
  ms: number,
  requestId: string,
  fields: LineFields = {},
): LineFields {
  return buildLine(ms, 'stream_placed', {
    requestId,
    attempt: 1,
    tokens: 5000,
    decoder: 'e1',
    helpers: [],
    shardMs: 40,
    predictedTtftMs: 100,
    factsAgeMs: 20,
    ...fields,
  });
}

/**
 * Builds the line of a stream that ended.
 *
 * @example
 * buildEnded(900, 'q', {ms: 900, ttftMs: 400});
 */
export function buildEnded(
  ms: number,
  requestId: string | undefined,
  fields: LineFields = {},
): LineFields {
  return buildLine(ms, 'request_ended', {
    requestId,
    route: 'chat',
    kind: 'stream',
    outcome: 'answered',
    status: 200,
    target: 'e1',
    tokens: 5000,
    ttftMs: 100,
    maxItlMs: 40,
    ms: 500,
    ...fields,
  });
}

let root: string | undefined;
let folders = 0;

/** A new folder, removed with all others when the process ends. */
function createFolder(): string {
  if (root === undefined) {
    const created = mkdtempSync(join(tmpdir(), 'losses-'));
    process.once('exit', () => rmSync(created, {recursive: true}));
    root = created;
  }
  const folder = join(root, String(++folders));
  mkdirSync(folder);
  return folder;
}

/**
 * Writes a file into a folder of its own.
 *
 * @returns Its path.
 * @example
 * writeTestFile('all.log', 'text');
 */
export function writeTestFile(name: string, text: string): string {
  const file = join(createFolder(), name);
  writeFileSync(file, text);
  return file;
}

/**
 * Writes a log; strings are written as they are.
 *
 * @returns Its path.
 * @example
 * writeLog([buildLine(0, 'gate_started'), '{"t": 12']);
 */
export function writeLog(lines: ReadonlyArray<LineFields | string>): string {
  const texts = lines.map(line =>
    typeof line === 'string' ? line : JSON.stringify(line),
  );
  return writeTestFile('all.log', texts.join('\n') + '\n');
}
