import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateWorld} from '../test/gate-world.js';
import type {RetryBounds} from '../retry/shared-retry-budget.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateWorld} from '../test/gate-world.js';

/** Streams events up to `last`, after the one that the caller has. */
const streamWhole: TargetScript = (req, res) => {
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
): Promise<GateWorld> {
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
  const world = await openGateWorld({
    config: {...base, routes, services},
    retryBounds,
  });
  for (const [i, script] of scripts.entries())
    await world.addTarget(`e${i}`, 'chat', script);
  await world.waitUntil(
    () =>
      world.lines.filter(line => line.includes('"target_added"')).length ===
      scripts.length,
  );
  return world;
}

/** Pauses in mid-stream for longer than a stall. */
const streamWithPause: TargetScript = (req, res) => {
  res.writeHead(200, buildSignedHead(req));
  res.write(formatEvents(1, 2));
  setTimeout(() => res.end(formatEvents(3, 6)), 1800);
};

/** Matches the log line of a request's placement. */
function isPlaced(requestId: string): (line: string) => boolean {
  return line =>
    line.includes('"stream_placed"') && line.includes(`"${requestId}"`);
}

/** Counts the attempts of all requests. */
function countAttempts({lines}: GateWorld): number {
  return lines.filter(line => line.includes('"stream_placed"')).length;
}

describe('forwarded streams', () => {
  it('goes on at another engine after the last whole event', async () => {
    // Guards against lost or repeated events when an engine dies in mid-event.
    let isFirst = true;
    const dieOnce: TargetScript = (req, res) => {
      if (!isFirst) return streamWhole(req, res);
      isFirst = false;
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 3) + 'id: 4\ndata: pie');
      setTimeout(() => res.destroy(), 30);
    };
    const world = await openStreams([dieOnce, dieOnce]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      world.close();
    }
  });

  it('never makes a broken stream look whole', async () => {
    // Guards against a cut stream that looks complete.
    const breakOff: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
      setTimeout(() => res.destroy(), 20);
    };
    const world = await openStreams([breakOff, breakOff]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(false);
    } finally {
      world.close();
    }
  });

  it('never makes a stream without a length whole when it is reset', async () => {
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
    const world = await openStreams([resetUnframed, resetUnframed]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(false);
    } finally {
      world.close();
    }
  });

  it('says "not run" of nothing that has run, also when memory is short', async () => {
    // Guards against 503 for a stream that may have run.
    const hang: TargetScript = () => undefined;
    const world = await openStreams([hang, hang], true, 30_000);
    try {
      void world.call('/stream/x', {
        id: 'large',
        tokens: 290_000,
        deadlineMs: 30_000,
      });
      await world.waitUntil(() => world.lines.some(isPlaced('large')));
      world.setScripts((_, res) => res.destroy());
      const answer = await world.call('/stream/x', {
        id: 'q2',
        tokens: 200_000,
        deadlineMs: 30_000,
      });
      expect(world.lines.some(isPlaced('q2'))).toEqual(true);
      expect(answer.status).toEqual(502);
    } finally {
      world.close();
    }
  });

  it('runs a stream that cannot be resumed once only', async () => {
    const world = await openStreams([req => req.socket.destroy()], false);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.status).toEqual(502);
      const attempts = world.lines.filter(line =>
        line.includes('"stream_placed"'),
      );
      expect(attempts.length).toEqual(1);
    } finally {
      world.close();
    }
  });

  it('waits for a stalled stream that cannot be resumed', async () => {
    // Guards against giving up a stalled stream that cannot be resumed.
    const pause: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
      setTimeout(() => res.end(formatEvents(3, 3)), 1300);
    };
    const world = await openStreams([pause, pause], false);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 3));
    } finally {
      world.close();
    }
  });

  it('keeps a stream on its engine while all others are full', async () => {
    // Guards against cancelling a stalled stream that no other engine has room
    // for.
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
    const world = await openStreams([script, script], true, 5000, 1);
    try {
      const paused = world.call('/stream/x', {tokens: 1000});
      await world.waitUntil(() => arrivals === 1);
      const busy = world.call('/stream/x', {tokens: 1000});
      for (const answer of await Promise.all([paused, busy])) {
        expect(answer.isWhole).toEqual(true);
        expect(answer.body.endsWith(formatEvents(3, 3))).toEqual(true);
      }
      expect(arrivals).toEqual(2);
    } finally {
      world.close();
    }
  });

  it('waits for a stalled stream while no retry is allowed', async () => {
    // Guards against cancelling stalled streams while the retry budget is
    // spent.
    const bounds = {ratio: 0, slack: 0, windowMs: 10_000};
    const world = await openStreams(
      [streamWithPause, streamWithPause],
      true,
      5000,
      ENGINE.slots,
      bounds,
    );
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      world.close();
    }
  });

  it('waits for a stalled stream that no engine could prefill in time', async () => {
    // Guards against cancelling a stalled stream that another engine would
    // finish too late.
    const world = await openStreams(
      [streamWithPause, streamWithPause],
      true,
      3000,
    );
    try {
      const answer = await world.call('/stream/x', {
        tokens: 200_000,
        deadlineMs: 3000,
      });
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      world.close();
    }
  });

  it('keeps a stalled engine until another one has begun', async () => {
    // Guards against cancelling a stalled engine before another one has begun.
    let arrivals = 0;
    const script: TargetScript = (req, res) =>
      ++arrivals === 1 ? streamWithPause(req, res) : answerNotRun(req, res);
    const world = await openStreams([script, script]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(countAttempts(world)).toEqual(2);
    } finally {
      world.close();
    }
  });

  it('goes on with the engine that sends the next event first', async () => {
    // Guards against repeated events, and against an engine that decodes for
    // nobody.
    let isSecondClosed = false;
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals === 1) return streamWithPause(req, res);
      req.socket.once('close', () => (isSecondClosed = true));
      const timer = setTimeout(() => streamWhole(req, res), 20_000);
      res.once('close', () => clearTimeout(timer));
    };
    const world = await openStreams([script, script]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(arrivals).toEqual(2);
      await world.waitUntil(() => isSecondClosed);
    } finally {
      world.close();
    }
  });

  it('goes on with the second engine when the stalled one breaks off', async () => {
    // Guards against a third attempt while the second one is prefilling.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) {
        setTimeout(() => streamWhole(req, res), 600);
        return;
      }
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
      setTimeout(() => res.destroy(), 1300);
    };
    const world = await openStreams([script, script]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
      expect(arrivals).toEqual(2);
    } finally {
      world.close();
    }
  });

  it('waits for a stalled engine that is alive when another one refuses', async () => {
    // Guards against an unknown outcome while the first engine is about to
    // answer.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) return answerNotRun(req, res);
      setTimeout(() => streamWhole(req, res), 2500);
    };
    const world = await openStreams([script, script]);
    try {
      for (const id of ['e0', 'e1']) world.reports.slowdowns.set(id, 1);
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(arrivals).toEqual(2);
      expect(answer.isWhole).toEqual(true);
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      world.close();
    }
  });

  it('waits for no dead engine when another one refuses', async () => {
    // Guards against waiting until the deadline for an engine without power.
    let arrivals = 0;
    const script: TargetScript = (req, res) => {
      if (++arrivals > 1) answerNotRun(req, res);
    };
    const world = await openStreams([script, script]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(arrivals).toEqual(2);
      // At its deadline it would get 504.
      expect(answer.status).toEqual(502);
    } finally {
      world.close();
    }
  });

  it('closes the engine’s connection when the caller leaves', async () => {
    // Guards against prefill for a caller that has left.
    let isClosed = false;
    const hang: TargetScript = req => {
      req.socket.once('close', () => (isClosed = true));
    };
    const world = await openStreams([hang]);
    try {
      await world.call('/stream/x', {tokens: 1000, leaveAfterMs: 60});
      await world.waitUntil(() => isClosed);
    } finally {
      world.close();
    }
  });

  it('sends a stream to nobody once its caller has left', async () => {
    // Guards against further attempts for a stream that has ended.
    const hang: TargetScript = () => undefined;
    const world = await openStreams([hang, hang, hang]);
    try {
      const call = world.call('/stream/x', {tokens: 1000, leaveAfterMs: 400});
      // In the turn in which the caller leaves, until the engine is overdue.
      setTimeout(() => {
        const lock = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(lock, 0, 0, 1500);
      }, 400);
      await call;
      await world.waitUntil(() =>
        world.lines.some(line => line.includes('"caller_left"')),
      );
      await new Promise(resolve => setTimeout(resolve, 300));
      expect(countAttempts(world)).toEqual(1);
    } finally {
      world.close();
    }
  });

  it('moves to another engine when the first goes silent', async () => {
    let isFirst = true;
    const stallOnce: TargetScript = (req, res) => {
      if (!isFirst) return streamWhole(req, res);
      isFirst = false;
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 2));
    };
    const world = await openStreams([stallOnce, stallOnce]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.body).toEqual(formatEvents(1, 6));
    } finally {
      world.close();
    }
  });

  it('releases KV reservations whatever happens', async () => {
    // Guards against KV cache that stays reserved after a stream has failed.
    const breakOff: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
      setTimeout(() => res.destroy(), 20);
    };
    const world = await openStreams([breakOff, breakOff, breakOff]);
    try {
      await world.call('/stream/x', {tokens: 330_000, deadlineMs: 5000});
      await world.waitUntil(() => world.reservations.held.size === 0);
      const reserved = world.lines.some(line =>
        /"reservations":[1-9]/.test(line),
      );
      expect(reserved).toEqual(true);
    } finally {
      world.close();
    }
  });

  it('refuses at once when no engine runs it, and says when to return', async () => {
    const world = await openStreams([answerNotRun, answerNotRun]);
    try {
      const answer = await world.call('/stream/x', {tokens: 1000});
      expect(answer.status).toEqual(503);
      expect(Number(answer.retryAfter) > 0).toEqual(true);
      expect(answer.ms < 1000).toEqual(true);
    } finally {
      world.close();
    }
  });
});
