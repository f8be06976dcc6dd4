import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {expect} from 'earl';
import {readGateLogs} from './gate-incarnations.js';
import {judgeRequests, summarizeLosses} from './summarize-losses.js';
import type {Cause} from './causes.js';

const execFileAsync = promisify(execFile);

const CLI_BIN = fileURLToPath(new URL('../bin.js', import.meta.url));

/**
 * Result of a request as its caller recorded it in the soak's `history.json`.
 */
interface CallerRecord {
  readonly requestId: string;
  readonly status: number;
  readonly isWhole: boolean;
}

/** Causes of requests without a complete answer. */
const UNANSWERED_CAUSES: ReadonlySet<Cause | undefined> = new Set<Cause>([
  'refused',
  'cut',
  'gate-ended',
]);

describe('nutmeggauge losses on the logs of a soak', () => {
  it('reports no request as refused or cut whose caller received a complete answer', async () => {
    // Guards against log fields that gates rename: compares the logs of real
    // gates, which are killed and restarted, with the records of their callers.
    const runDir = mkdtempSync(join(tmpdir(), 'losses-soak-'));
    try {
      const soakArgs = ['soak', '--seed', '1', '--no-timing'];
      await execFileAsync(process.execPath, [
        CLI_BIN,
        ...soakArgs,
        ...['--length-ms', '9000', '--run-dir', runDir],
      ]);
      const logs = readGateLogs([runDir]);
      const requests = judgeRequests(logs, {
        routes: {},
        others: {ttftMs: 300, itlMs: 250},
      });
      const history = JSON.parse(
        readFileSync(join(runDir, 'history.json'), 'utf8'),
      ) as {readonly records: readonly CallerRecord[]};
      const answeredIds = new Set(
        history.records
          .filter(({status, isWhole}) => status === 200 && isWhole)
          .map(({requestId}) => requestId),
      );
      expect(answeredIds.size > 0).toEqual(true);
      expect(logs.malformedLines).toEqual(0);
      const misjudged = requests.filter(
        ({requestId, cause}) =>
          answeredIds.has(requestId ?? '') && UNANSWERED_CAUSES.has(cause),
      );
      // A gate that is killed after it sent an answer, but before the log line
      // about it was collected, leaves a request without an end.
      expect(misjudged.filter(({cause}) => cause !== 'gate-ended')).toEqual([]);
      const {kinds, forecasts, worth} = summarizeLosses(logs, requests);
      expect(kinds.length > 0 && forecasts.length > 0).toEqual(true);
      const sum = kinds.reduce((total, kind) => total + kind.worth, 0);
      expect(Math.abs(sum - worth) < 1e-6).toEqual(true);
    } finally {
      rmSync(runDir, {recursive: true});
    }
  });
});
