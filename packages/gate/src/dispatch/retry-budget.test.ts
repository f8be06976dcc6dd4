import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  TargetUnreachableError,
  createCounters,
  createClassCounts,
  createSuspectRequests,
} from '@nutmeggauge/core';
import {RoundRobinRouter} from '../routing/router.js';
import {HeldRequest} from '../stop/held-request.js';
import {createChunkStream} from '../streaming/reassembly.js';
import {createDispatcher} from './dispatcher.js';
import {createRetryBudget} from './retry-budget.js';
import type {TargetLink} from '../membership/target-link.js';

// A fixed seed makes the property tests reproducible.
fc.configureGlobal({seed: 20261202});

/** Creates a target whose every dispatch fails before anything is sent. */
function createUnreachableTarget(id: string, onSend: () => void): TargetLink {
  return {
    id,
    zone: 'az-1',
    outstanding: 0,
    load: undefined,
    unreportedByClass: createClassCounts(),
    isUsable: true,
    dispatch: async () => {
      onSend();
      throw new TargetUnreachableError({}, 'target unreachable');
    },
    cancel: () => {},
    cancelQueued: () => {},
  };
}

describe('RetryBudget', () => {
  it('never grants more retries than burst plus ratio times requests (property)', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), steps => {
        const budget = createRetryBudget({ratio: 0.2, burst: 5});
        let requests = 0;
        let retries = 0;
        for (const isRequest of steps) {
          if (isRequest) {
            requests++;
            budget.recordRequest();
            continue;
          }
          if (budget.claimRetry()) retries++;
          expect(retries).toBeLessThanOrEqual(5 + 0.2 * requests);
        }
      }),
    );
  });

  it('limits the dispatches that retries add while every target is unreachable', async () => {
    // Guards against retries that multiply the load during an outage.
    let sends = 0;
    const targets = ['e1', 'e2', 'e3'].map(id =>
      createUnreachableTarget(id, () => sends++),
    );
    const dispatcher = createDispatcher({
      directory: {
        listUsable: () => targets,
        findHome: async () => undefined,
      },
      router: new RoundRobinRouter(),
      counters: createCounters(),
      maxAttempts: 3,
      acceptTimeoutMs: 1000,
      retryBudget: createRetryBudget({ratio: 0.2, burst: 10}),
      suspects: createSuspectRequests(),
      waitForReads: async () => undefined,
    });
    for (let i = 0; i < 100; i++) {
      const result = await dispatcher.run({
        request: {
          requestId: `r${i}`,
          account: 'a',
          pool: 'chat',
          kind: 'generate',
          deadlineAt: Date.now() + 60_000,
          notRepeatable: false,
          keyed: false,
          recordVersion: 1,
        },
        route: {
          promptTokens: 1,
          maxTokens: 1,
          isLongPrompt: false,
          prefixes: [],
        },
        resumable: true,
        chunks: createChunkStream(),
        signal: new AbortController().signal,
        held: new HeldRequest('r', {headersSent: false, writableEnded: false}),
      });
      expect(result.status).toEqual('not-run');
    }
    expect(sends).toBeLessThanOrEqual(100 + 10 + 20);
  });
});
