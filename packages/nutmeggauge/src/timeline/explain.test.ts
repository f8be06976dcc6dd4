import {describe, it} from 'node:test';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'earl';
import {explainRequest} from './explain.js';
import {mergeTimeline} from './merge.js';

/**
 * Writes lines to a log file with the prefix of a log collector, and reads them
 * back merged.
 */
function mergeLines(lines: readonly object[]) {
  const file = join(mkdtempSync(join(tmpdir(), 'timeline-')), 'all.log');
  const text = lines.map(line => `  12.0 front-1 ${JSON.stringify(line)}`);
  writeFileSync(file, text.join('\n'));
  return mergeTimeline([file]);
}

describe('explain', () => {
  it('returns the lines of a request and those about its targets at the same gate, and no others', () => {
    // Guards against explaining a failed request by events of another gate or
    // target.
    const events = mergeLines([
      {t: 1000, proc: 'g1', event: 'target_changed', id: 'i-1'},
      {t: 2000, proc: 'g2', event: 'store_lost'},
      {t: 2500, proc: 'g1', event: 'target_changed', id: 'i-9'},
      {
        t: 3000,
        proc: 'g1',
        event: 'stream_placed',
        requestId: 'q',
        decoder: 'i-1',
      },
      {
        t: 3001,
        proc: 'g1',
        event: 'stream_placed',
        requestId: 'r',
        decoder: 'i-1',
      },
      {
        t: 3500,
        proc: 'g1',
        event: 'request_ended',
        requestId: 'q',
        status: 502,
      },
    ]);
    const shown = explainRequest(events, 'q').map(event => event.event);
    expect(shown).toEqual(['target_changed', 'stream_placed', 'request_ended']);
  });

  it('returns no lines for a request id that no line has', () => {
    expect(explainRequest(mergeLines([]), 'q')).toEqual([]);
  });
});
