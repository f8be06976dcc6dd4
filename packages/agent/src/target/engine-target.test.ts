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

/** Runs a request on an engine that streams `events`. */
async function runOn(events: string): Promise<{
  readonly outcome: DispatchOutcome;
  readonly pieces: readonly unknown[];
}> {
  const server = createServer((_req, res) => {
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.end(events);
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const pieces: unknown[] = [];
  const outcome = await new EngineTarget(`http://127.0.0.1:${port}`).run(
    REQUEST,
    (_seq, text) => pieces.push(text),
    new AbortController().signal,
  );
  await closeHttpServer(server);
  return {outcome, pieces};
}

const DONE = 'event: done\ndata: {"tokens":1,"cachedTokens":0}\n\n';

describe('a stream of an engine', () => {
  it('hands on what is whole', async () => {
    const {outcome, pieces} = await runOn(
      `data: {"seq":0,"text":"a"}\n\n${DONE}`,
    );
    expect(outcome.status).toEqual('done');
    expect(pieces).toEqual(['a']);
  });

  it('is broken where a piece has no text or no number', async () => {
    // Guards against a piece without a text, which ended the agent.
    for (const piece of ['{"seq":0}', '{"text":"a"}', 'null', '7', '{}']) {
      const {outcome, pieces} = await runOn(`data: ${piece}\n\n${DONE}`);
      expect(outcome).toEqual({
        status: 'unknown',
        reason: 'target_stream_broken',
      });
      expect(pieces).toEqual([]);
    }
  });

  it('is broken where its end has no figures', async () => {
    for (const end of ['{}', '{"tokens":null,"cachedTokens":0}', 'null']) {
      const {outcome} = await runOn(`event: done\ndata: ${end}\n\n`);
      expect(outcome.status).toEqual('unknown');
    }
  });
});
