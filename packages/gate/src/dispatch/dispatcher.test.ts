import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  RpcClosedError,
  createClassCounts,
  createCounters,
  createSuspectRequests,
} from '@nutmeggauge/core';
import {RoundRobinRouter} from '../routing/router.js';
import {HeldRequest} from '../stop/held-request.js';
import {createChunkStream} from '../streaming/reassembly.js';
import {createDispatcher} from './dispatcher.js';
import {createRetryBudget} from './retry-budget.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {TargetLink} from '../membership/target-link.js';

const MAX_TOKENS = 4;

const LINK_LOST = new RpcClosedError({}, 'link closed');

/**
 * Creates a target that sends chunks up to `chunkCount`, beginning at the
 * resume point, and then ends with `end`.
 */
function createStreamTarget(
  id: string,
  chunkCount: number,
  end: DispatchOutcome | Error,
  sent: DispatchRequest[],
): TargetLink {
  return {
    id,
    zone: 'az-1',
    outstanding: 0,
    load: undefined,
    unreportedByClass: createClassCounts(),
    isUsable: true,
    dispatch: async (request, onChunk) => {
      sent.push(request);
      const {requestId, resume} = request;
      for (let seq = resume?.fromSeq ?? 0; seq < chunkCount; seq++)
        onChunk({requestId, seq, text: ` t${seq}`});
      if (end instanceof Error) throw end;
      return end;
    },
    cancel: () => {},
    cancelQueued: () => {},
  };
}

/** Dispatches one generate request to the first of `targets`. */
async function runDispatch(
  targets: readonly TargetLink[],
  resumable: boolean,
  waitForReads: (caller: AbortController) => Promise<void> = async () =>
    undefined,
) {
  const caller = new AbortController();
  const chunks = createChunkStream();
  const texts: string[] = [];
  const streamEnd = chunks.observe(text => texts.push(text));
  const result = await createDispatcher({
    directory: {listUsable: () => targets, findHome: async () => undefined},
    router: new RoundRobinRouter(),
    counters: createCounters(),
    maxAttempts: 3,
    acceptTimeoutMs: 1000,
    retryBudget: createRetryBudget({ratio: 0.2, burst: 10}),
    suspects: createSuspectRequests(),
    waitForReads: () => waitForReads(caller),
  }).run({
    request: {
      requestId: 'r1',
      account: 'a',
      pool: 'chat',
      kind: 'generate',
      maxTokens: MAX_TOKENS,
      deadlineAt: Date.now() + 60_000,
      notRepeatable: false,
      keyed: false,
      recordVersion: 1,
    },
    route: {
      promptTokens: 1,
      maxTokens: MAX_TOKENS,
      isLongPrompt: false,
      prefixes: [],
    },
    resumable,
    chunks,
    signal: caller.signal,
    held: new HeldRequest('r', {headersSent: false, writableEnded: false}),
  });
  chunks.end();
  await streamEnd;
  return {status: result.status, text: texts.join('')};
}

describe('answer whose link closes before its end is reported', () => {
  const extraChunk = {
    status: 'done',
    chunks: MAX_TOKENS + 1,
    tokens: 1,
    cachedTokens: 0,
  } as const;

  for (const resumable of [true, false])
    it(`is complete once all of its tokens have arrived, ${resumable ? '' : 'not '}resumable`, async () => {
      // Guards against an engine that resumes a whole answer and adds a token.
      const sent: DispatchRequest[] = [];
      const targets = [
        createStreamTarget('e1', MAX_TOKENS, LINK_LOST, sent),
        createStreamTarget('e2', MAX_TOKENS + 1, extraChunk, sent),
      ];
      expect(await runDispatch(targets, resumable)).toEqual({
        status: 'done',
        text: ' t0 t1 t2 t3',
      });
      expect(sent.length).toEqual(1);
    });

  it('is resumed at its last token while one is missing', async () => {
    const sent: DispatchRequest[] = [];
    const rest = {...extraChunk, chunks: MAX_TOKENS};
    const targets = [
      createStreamTarget('e1', MAX_TOKENS - 1, LINK_LOST, sent),
      createStreamTarget('e2', MAX_TOKENS, rest, sent),
    ];
    expect(await runDispatch(targets, true)).toEqual({
      status: 'done',
      text: ' t0 t1 t2 t3',
    });
    expect(sent[1].resume?.fromSeq).toEqual(MAX_TOKENS - 1);
  });
});

describe('request whose caller has left', () => {
  it('is sent to no target if its disconnect was read late', async () => {
    // Guards against work for callers that left while their request lay unread.
    const sent: DispatchRequest[] = [];
    const whole = {
      status: 'done',
      chunks: 1,
      tokens: 1,
      cachedTokens: 0,
    } as const;
    const targets = [createStreamTarget('e1', 1, whole, sent)];
    const {status} = await runDispatch(targets, true, async caller =>
      caller.abort(),
    );
    expect({status, sends: sent.length}).toEqual({status: 'not-run', sends: 0});
  });

  it('is sent to no further target', async () => {
    const sent: DispatchRequest[] = [];
    const targets = ['e1', 'e2'].map(id =>
      createStreamTarget(id, 0, LINK_LOST, sent),
    );
    const {status} = await runDispatch(targets, true, async caller => {
      if (sent.length > 0) caller.abort();
    });
    expect({status, sends: sent.length}).toEqual({status: 'unknown', sends: 1});
  });
});
