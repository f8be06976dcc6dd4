import {describe, it} from 'node:test';
import {Writable} from 'node:stream';
import {expect} from 'earl';
import {createDecisionLog} from './decision-log.js';

describe('decision log', () => {
  it('drops lines when the output is not read, so that buffered bytes stay bounded', () => {
    // Guards against a stalled reader of stdout that blocks the process or
    // fills its memory.
    const stalledOutput = new Writable({
      write: () => undefined,
      highWaterMark: 1,
    });
    const log = createDecisionLog({
      proc: 'g',
      output: stalledOutput,
      readWallMs: () => 1000,
    });
    for (let i = 0; i < 5000; i++)
      log.warn('request_ended', {requestId: 'x'.repeat(4000)});
    expect(stalledOutput.writableLength < 300 * 1024).toEqual(true);
  });

  it('logs warnings after info lines have used up their budget for the second, and reports dropped lines', () => {
    const lines: string[] = [];
    const output = new Writable({
      write: (chunk, _, done) => {
        lines.push(String(chunk));
        done();
      },
    });
    let wallMs = 1000;
    const log = createDecisionLog({
      proc: 'g',
      output,
      readWallMs: () => wallMs,
    });
    for (let i = 0; i < 1000; i++) log.info('request_ended');
    log.warn('request_given_up');
    wallMs = 2000;
    log.info('request_ended');
    const events = lines.map(line => JSON.parse(line).event);
    expect(
      events.filter(event => event === 'request_ended').length < 200,
    ).toEqual(true);
    expect(events.includes('request_given_up')).toEqual(true);
    expect(events.includes('log_lines_dropped')).toEqual(true);
  });
});
