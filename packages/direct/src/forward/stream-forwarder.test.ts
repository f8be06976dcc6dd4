import {describe, it} from 'node:test';
import {freezeProcess} from '@nutmeggauge/core';
import {expect} from 'earl';
import {
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {RetryBounds} from '../retry/shared-retry-budget.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Streams all events after the last one that the caller received. */
const streamComplete: TargetScript = (req, res) => {
  const after = Number(req.headers['x-test-after'] ?? 0);
  res.writeHead(200, {
    ...buildSignedHead(req),
    'content-type': 'text/event-stream',
  });
  res.end(formatEvents(after + 1, 6));
};

async function openStreams(
  scripts: readonly TargetScript[],
  isResumable = true,
  timeoutMs = 5000,
  slots = ENGINE.slots,
  retryBounds?: RetryBounds,
): Promise<GateHarness> {
  const base = buildConfig(1);
  const services = base.services.map(service => ({
    ...service,
    engine: service.engine && {...service.engine, slots},
  }));
  const routes = base.routes.map(route => ({
    ...route,
    timeoutMs,
    isResumable: route.kind === 'stream' && isResumable,
  }));
  const harness = await openGateHarness({
    config: {...base, routes, services},
    retryBounds,
  });
  for (const [i, script] of scripts.entries())
    await harness.addTarget(`e${i}`, 'chat', script);
  await harness.waitUntil(
    () =>
      harness.lines.filter(line => line.includes('"target_added"')).length ===
      scripts.length,
  );
  return harness;
}

/** Pauses after two events for longer than the stall timeout. */
const streamWithPause: TargetScript = (req, res) => {
  res.writeHead(200, buildSignedHead(req));
  res.write(formatEvents(1, 2));
  setTimeout(() => res.end(formatEvents(3, 6)), 1800);
};

/** Returns a predicate that matches log lines of placements of a request. */
function isPlaced(requestId: string): (line: string) => boolean {
  return line =>
    line.includes('"stream_placed"') && line.includes(`"${requestId}"`);
}

/** Counts the attempts of all requests. */
function countAttempts({lines}: GateHarness): number {
  return lines.filter(line => line.includes('"stream_placed"')).length;
}

describe('stream forwarder', () => {
  it('resumes a stream at another engine after the last complete event', async () => {
    // Guards against lost or repeated events when an engine fails during an
    // event.
    let isFirst = true;
    const dropOnce: TargetScript = (req, res) => {
      if (!isFirst) return streamComplete(req, res);
      isFirst = false;
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 3) + 'id: 4\ndata: pie');
      setTimeout(() => res.destroy(), 30);
    };
    const harness = await openStreams([dropOnce, dropOnce]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      harness.close();
    }
  });

  it('does not end a stream as complete if all attempts are truncated', async () => {
    // Guards against a truncated stream that looks complete to the caller.
    const dropAfterFirstEvent: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
      setTimeout(() => res.destroy(), 20);
    };
    const harness = await openStreams([
      dropAfterFirstEvent,
      dropAfterFirstEvent,
    ]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(false);
    } finally {
      harness.close();
    }
  });

  it('does not end a stream without a length as complete if its connection is reset', async () => {
    // Guards against a reset that the HTTP parser takes for the end of a
    // stream.
    const resetUnframed: TargetScript = req => {
      const {socket} = req;
      socket.write(
        'HTTP/1.1 200 OK\r\nx-test-signature: s\r\n' +
          `x-test-id: ${String(req.headers['x-test-id'])}\r\n\r\n` +
          formatEvents(1, 2),
      );
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
    const harness = await openStreams([resetUnframed, resetUnframed]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(false);
    } finally {
      harness.close();
    }
  });

  it('responds with 502 to a stream that may have run, even if KV cache runs out', async () => {
    // Guards against a 503 for a stream that may have run, which callers would
    // retry.
    const hang: TargetScript = () => undefined;
    const harness = await openStreams([hang, hang], true, 30_000);
    try {
      void harness.call('/stream/x', {
        id: 'large',
        tokens: 290_000,
        deadlineMs: 30_000,
      });
      await harness.waitUntil(() => harness.lines.some(isPlaced('large')));
      harness.setScripts((_, res) => res.destroy());
      const answer = await harness.call('/stream/x', {
        id: 'q2',
        tokens: 200_000,
        deadlineMs: 30_000,
      });
      expect(harness.lines.some(isPlaced('q2'))).toEqual(true);
      expect(answer.status).toEqual(502);
    } finally {
      harness.close();
    }
  });

  it('runs a stream only once if it cannot be resumed', async () => {
    const harness = await openStreams([req => req.socket.destroy()], false);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.status).toEqual(502);
      const attempts = harness.lines.filter(line =>
        line.includes('"stream_placed"'),
      );
      expect(attempts.length).toEqual(1);
    } finally {
      harness.close();
    }
  });

  it('keeps waiting for a stalled stream that cannot be resumed', async () => {
    // Guards against cancelling a stalled stream that no other engine may
    // resume.
    const pause: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
      setTimeout(() => res.end(formatEvents(3, 3)), 1300);
    };
    const harness = await openStreams([pause, pause], false);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 3));
    } finally {
      harness.close();
    }
  });

  it('keeps a stalled stream on its engine while no other engine has a free slot', async () => {
    // Guards against cancelling a stalled stream that no other engine can
    // accept.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      arrivals++;
      if (arrivals > 2) return answerNotRun(req, res);
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
      const isBusy = arrivals === 2;
      const tick = setInterval(() => isBusy && res.write(': on\n\n'), 100);
      setTimeout(() => {
        clearInterval(tick);
        res.end(formatEvents(3, 3));
      }, 1800);
    };
    const harness = await openStreams([script, script], true, 5000, 1);
    try {
      const paused = harness.call('/stream/x', {tokens: 1000});
      await harness.waitUntil(() => arrivals === 1);
      const busy = harness.call('/stream/x', {tokens: 1000});
      for (const answer of await Promise.all([paused, busy])) {
        expect(answer.isWhole).toEqual(true);
        expect(answer.body.endsWith(formatEvents(3, 3))).toEqual(true);
      }
      expect(arrivals).toEqual(2);
    } finally {
      harness.close();
    }
  });

  it('keeps waiting for a stalled stream if the retry budget is spent', async () => {
    // Guards against cancelling stalled streams while the retry budget is
    // spent.
    const bounds = {ratio: 0, slack: 0, windowMs: 10_000};
    const harness = await openStreams(
      [streamWithPause, streamWithPause],
      true,
      5000,
      ENGINE.slots,
      bounds,
    );
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      harness.close();
    }
  });

  it('keeps waiting for a stalled stream that no other engine could prefill before the deadline', async () => {
    // Guards against cancelling a stalled stream that another engine would
    // finish too late.
    const harness = await openStreams(
      [streamWithPause, streamWithPause],
      true,
      3000,
    );
    try {
      const answer = await harness.call('/stream/x', {
        tokens: 200_000,
        deadlineMs: 3000,
      });
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      harness.close();
    }
  });

  it('completes a stream at its stalled engine if the backup engine refuses', async () => {
    // Guards against cancelling a stalled engine before the backup engine sends
    // an event.
    let arrivals = 0;
    const script: TargetScript = (req, res) =>
      ++arrivals === 1 ? streamWithPause(req, res) : answerNotRun(req, res);
    const harness = await openStreams([script, script]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(countAttempts(harness)).toEqual(2);
    } finally {
      harness.close();
    }
  });

  it('continues with a stalled engine that resumes first and cancels the backup', async () => {
    // Guards against repeated events, and against a backup engine that keeps
    // decoding a stream that nobody reads.
    let isSecondClosed = false;
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals === 1) return streamWithPause(req, res);
      req.socket.once('close', () => (isSecondClosed = true));
      const timer = setTimeout(() => streamComplete(req, res), 20_000);
      res.once('close', () => clearTimeout(timer));
    };
    const harness = await openStreams([script, script]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(arrivals).toEqual(2);
      await harness.waitUntil(() => isSecondClosed);
    } finally {
      harness.close();
    }
  });

  it('continues with the backup if the stalled engine closes the connection', async () => {
    // Guards against a third attempt while the backup engine is prefilling.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) {
        setTimeout(() => streamComplete(req, res), 600);
        return;
      }
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
      setTimeout(() => res.destroy(), 1300);
    };
    const harness = await openStreams([script, script]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(arrivals).toEqual(2);
    } finally {
      harness.close();
    }
  });

  it('waits for a stalled engine that is alive if the backup engine refuses', async () => {
    // Guards against reporting an unknown outcome while the first engine is
    // about to respond.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) return answerNotRun(req, res);
      setTimeout(() => streamComplete(req, res), 2500);
    };
    const harness = await openStreams([script, script]);
    try {
      for (const id of ['e0', 'e1']) harness.reports.slowdowns.set(id, 1);
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(arrivals).toEqual(2);
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      harness.close();
    }
  });

  it('does not wait for a dead engine until the deadline if the backup engine refuses', async () => {
    // Guards against waiting until the deadline for an engine that has lost
    // power.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) answerNotRun(req, res);
    };
    const harness = await openStreams([script, script]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(arrivals).toEqual(2);
      // The status would be 504 if the gate had waited until the deadline.
      expect(answer.status).toEqual(502);
    } finally {
      harness.close();
    }
  });

  it('closes the connection to the engine when the caller disconnects', async () => {
    // Guards against a prefill for a caller that has disconnected.
    let isClosed = false;
    const hang: TargetScript = req => {
      req.socket.once('close', () => (isClosed = true));
    };
    const harness = await openStreams([hang]);
    try {
      await harness.call('/stream/x', {tokens: 1000, disconnectAfterMs: 60});
      await harness.waitUntil(() => isClosed);
    } finally {
      harness.close();
    }
  });

  it('starts no further attempt after the caller has disconnected', async () => {
    // Guards against further attempts for a stream that has ended.
    const hang: TargetScript = () => undefined;
    const harness = await openStreams([hang, hang, hang]);
    try {
      const call = harness.call('/stream/x', {
        tokens: 1000,
        disconnectAfterMs: 400,
      });
      // Blocks the event loop, so that the disconnect and the stall timeout are
      // handled in the same turn.
      setTimeout(freezeProcess, 400, 1500);
      await call;
      await harness.waitUntil(() =>
        harness.lines.some(line => line.includes('"caller_left"')),
      );
      await new Promise(resolve => setTimeout(resolve, 300));
      expect(countAttempts(harness)).toEqual(1);
    } finally {
      harness.close();
    }
  });

  it('resumes a stream at another engine if the first one stops sending events', async () => {
    let isFirst = true;
    const stallOnce: TargetScript = (req, res) => {
      if (!isFirst) return streamComplete(req, res);
      isFirst = false;
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
    };
    const harness = await openStreams([stallOnce, stallOnce]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      harness.close();
    }
  });

  it('releases all KV cache reservations after a stream has failed', async () => {
    // Guards against KV cache that stays reserved after a stream has failed.
    const dropAfterFirstEvent: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
      setTimeout(() => res.destroy(), 20);
    };
    const harness = await openStreams([
      dropAfterFirstEvent,
      dropAfterFirstEvent,
      dropAfterFirstEvent,
    ]);
    try {
      await harness.call('/stream/x', {tokens: 330_000, deadlineMs: 5000});
      await harness.waitUntil(() => harness.reservations.held.size === 0);
      const reserved = harness.lines.some(line =>
        /"reservations":[1-9]/.test(line),
      );
      expect(reserved).toEqual(true);
    } finally {
      harness.close();
    }
  });

  it('refuses a stream within a second with 503 and Retry-After if all engines report it as not run', async () => {
    const harness = await openStreams([answerNotRun, answerNotRun]);
    try {
      const answer = await harness.call('/stream/x', {tokens: 1000});
      expect(answer.status).toEqual(503);
      expect(Number(answer.retryAfter) > 0).toEqual(true);
      expect(answer.ms < 1000).toEqual(true);
    } finally {
      harness.close();
    }
  });
});
