import {createServer} from 'node:http';
import {describe, it} from 'node:test';
import {closeHttpServer, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {EngineTarget} from './engine-target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

const REQUEST: DispatchRequest = {
  requestId: 'r1',
  account: 'a',
  pool: 'chat',
  kind: 'generate',
  prompt: 'p',
  deadlineAt: Date.now() + 60_000,
  notRepeatable: true,
  keyed: false,
  recordVersion: 1,
  attempt: 1,
};

/** Runs a request on an engine that answers with the SSE text `events`. */
async function runOnEngine(events: string): Promise<{
  readonly outcome: DispatchOutcome;
  readonly chunkTexts: readonly unknown[];
}> {
  const server = createServer((_req, res) => {
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.end(events);
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const chunkTexts: unknown[] = [];
  const outcome = await new EngineTarget(`http://127.0.0.1:${port}`).run(
    REQUEST,
    (_seq, text) => chunkTexts.push(text),
    new AbortController().signal,
  );
  await closeHttpServer(server);
  return {outcome, chunkTexts};
}

const DONE = 'event: done\ndata: {"tokens":1,"cachedTokens":0}\n\n';

describe('EngineTarget', () => {
  it('passes on the token events of a complete, valid stream', async () => {
    const {outcome, chunkTexts} = await runOnEngine(
      `data: {"seq":0,"text":"a"}\n\n${DONE}`,
    );
    expect(outcome.status).toEqual('done');
    expect(chunkTexts).toEqual(['a']);
  });

  it('reports the stream as broken when a token event lacks its text or sequence number', async () => {
    // Guards against an uncaught error that ends the agent when an engine
    // sends a token event without text.
    for (const eventData of ['{"seq":0}', '{"text":"a"}', 'null', '7', '{}']) {
      const {outcome, chunkTexts} = await runOnEngine(
        `data: ${eventData}\n\n${DONE}`,
      );
      expect(outcome).toEqual({
        status: 'unknown',
        reason: 'target_stream_broken',
      });
      expect(chunkTexts).toEqual([]);
    }
  });

  it('reports an unknown outcome when the done event lacks its token counts', async () => {
    for (const doneEventData of [
      '{}',
      '{"tokens":null,"cachedTokens":0}',
      'null',
    ]) {
      const {outcome} = await runOnEngine(
        `event: done\ndata: ${doneEventData}\n\n`,
      );
      expect(outcome.status).toEqual('unknown');
    }
  });
});
