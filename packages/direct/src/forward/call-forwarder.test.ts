import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerNotRun,
  answerWhole,
  buildSignedHead,
} from '../test/fake-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateWorld} from '../test/gate-world.js';

const dropAnswer: TargetScript = req => req.socket.destroy();

/** Runs `check` with the two targets `a` and `b`. */
async function checkWithTargets(
  a: TargetScript,
  b: TargetScript,
  check: (world: GateWorld, counts: () => readonly number[]) => Promise<void>,
): Promise<void> {
  const world = await openGateWorld();
  try {
    const first = await world.addTarget('a', 'orders', a);
    const second = await world.addTarget('b', 'orders', b);
    await world.waitUntil(() => isListed(world, 2));
    await check(world, () => [first.received.length, second.received.length]);
  } finally {
    world.close();
  }
}

function isListed(world: GateWorld, count: number): boolean {
  return (
    world.lines.filter(line => line.includes('"target_added"')).length === count
  );
}

describe('forwarded calls', () => {
  it('never sends an order again whose answer was lost', async () => {
    // Guards against an order that runs twice because its answer was lost.
    await checkWithTargets(dropAnswer, dropAnswer, async (world, counts) => {
      const answer = await world.call('/unsafe2/order', {method: 'POST'});
      expect(answer.status).toEqual(502);
      const [a, b] = counts();
      expect(a + b).toEqual(1);
    });
  });

  it('never says "not run" of an order that may have run', async () => {
    await checkWithTargets(dropAnswer, dropAnswer, async world => {
      const {status} = await world.call('/unsafe/order', {method: 'POST'});
      expect([408, 421, 429, 503].includes(status)).toEqual(false);
    });
  });

  it('sends an order on that a full target provably did not run', async () => {
    await checkWithTargets(
      answerNotRun,
      answerNotRun,
      async (world, counts) => {
        const answer = await world.call('/unsafe2/order', {method: 'POST'});
        expect(answer.status).toEqual(503);
        expect(Number(answer.retryAfter) > 0).toEqual(true);
        expect(counts()).toEqual([1, 1]);
      },
    );
  });

  it('repeats a look-up whose answer was cut short', async () => {
    // Guards against a truncated answer that looks complete.
    const cutShort: TargetScript = (req, res) => {
      res.writeHead(200, {...buildSignedHead(req), 'content-length': '100'});
      res.write('short');
      setTimeout(() => res.destroy(), 20);
    };
    await checkWithTargets(cutShort, cutShort, async (world, counts) => {
      const answer = await world.call('/safe/x');
      expect(answer.status).toEqual(502);
      expect(counts()).toEqual([1, 1]);
    });
  });

  it('takes an answer without a length that is reset for broken', async () => {
    // Guards against a reset that the HTTP parser takes for the end of an
    // answer.
    const resetUnframed: TargetScript = req => {
      const {socket} = req;
      socket.write(
        'HTTP/1.1 200 OK\r\nx-test-signature: s\r\n' +
          `x-test-id: ${String(req.headers['x-test-id'])}\r\n\r\nshort`,
      );
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
    await checkWithTargets(resetUnframed, resetUnframed, async world => {
      const answer = await world.call('/unsafe/order', {method: 'POST'});
      expect(answer.status).toEqual(502);
    });
  });

  it("gives nobody another request's answer", async () => {
    // Guards against an answer to another request on the same connection.
    const answerForeign: TargetScript = (_, res) => {
      res.writeHead(200, {'x-test-id': 'other', 'x-test-signature': 's'});
      res.end('for somebody else');
    };
    await checkWithTargets(answerForeign, answerForeign, async world => {
      const answer = await world.call('/unsafe/order', {method: 'POST'});
      expect(answer.status).toEqual(502);
      expect(answer.body.includes('somebody else')).toEqual(false);
    });
  });

  it('forwards no unsigned success', async () => {
    const answerUnsigned: TargetScript = (req, res) => {
      res.writeHead(200, {'x-test-id': String(req.headers['x-test-id'])});
      res.end('forged');
    };
    await checkWithTargets(answerUnsigned, answerUnsigned, async world => {
      expect((await world.call('/safe/x')).status).toEqual(502);
    });
  });

  it('asks a second target when the first is slow with a look-up', async () => {
    // Guards against a hanging target that passes its health check.
    const hang: TargetScript = () => undefined;
    let isFirst = true;
    const hangOnce: TargetScript = (req, res) => {
      if (!isFirst) return answerWhole(req, res);
      isFirst = false;
      hang(req, res);
    };
    await checkWithTargets(hangOnce, hangOnce, async world => {
      const answer = await world.call('/safe/x');
      expect(answer.status).toEqual(200);
      expect(answer.body).toEqual('whole');
    });
  });

  it("ends an order at its route's timeout, honestly", async () => {
    const hang: TargetScript = () => undefined;
    await checkWithTargets(hang, hang, async world => {
      const answer = await world.call('/unsafe/order', {
        method: 'POST',
        deadlineMs: 300,
      });
      expect(answer.status).toEqual(504);
    });
  });

  it('goes to another target when the first takes no connection', async () => {
    // Guards against failing a call that a dead target never received.
    const world = await openGateWorld();
    try {
      const dead = await world.addTarget('dead', 'orders', answerWhole);
      dead.close();
      await world.addTarget('alive', 'orders', answerWhole);
      await world.waitUntil(() => isListed(world, 2));
      for (let i = 0; i < 6; i++) {
        const answer = await world.call('/unsafe/order', {method: 'POST'});
        expect(answer.status).toEqual(200);
      }
    } finally {
      world.close();
    }
  });

  it('forwards the account, and never the key', async () => {
    const world = await openGateWorld();
    try {
      const target = await world.addTarget('t', 'orders', answerWhole);
      await world.waitUntil(() => isListed(world, 1));
      await world.call('/safe/x');
      expect(target.heads[0]['x-test-account']).toEqual('acme');
      expect(target.heads[0]['x-test-key']).toEqual(undefined);
      expect(Number(target.heads[0]['x-test-left']) <= 2000).toEqual(true);
    } finally {
      world.close();
    }
  });

  it('survives a head that cannot be written', async () => {
    // Guards against a header value that Node refuses, which ended the gate.
    const world = await openGateWorld({
      config: buildConfig(1, {
        accounts: [
          {name: 'acme', keys: ['k1']},
          {name: 'Žofín', keys: ['k2']},
        ],
      }),
    });
    try {
      const target = await world.addTarget('t', 'orders', answerWhole);
      const engine = await world.addTarget('e', 'chat', answerWhole);
      await world.waitUntil(() => isListed(world, 2));
      for (const path of ['/safe/x', '/unsafe/x', '/stream/x']) {
        const {status} = await world.call(path, {key: 'k2', tokens: 10});
        expect(status).toEqual(503);
      }
      expect([...target.received, ...engine.received]).toEqual([]);
      expect((await world.call('/safe/x')).status).toEqual(200);
    } finally {
      world.close();
    }
  });

  it('takes a status that no answer has for a broken one', async () => {
    // Guards against a status line that Node refuses to forward, which ended
    // the gate.
    const garble: TargetScript = req =>
      void req.socket.end(
        `HTTP/1.1 099 Odd\r\nx-test-signature: s\r\nx-test-id: ${String(
          req.headers['x-test-id'],
        )}\r\nContent-Length: 2\r\n\r\nok`,
      );
    await checkWithTargets(garble, garble, async world => {
      expect((await world.call('/unsafe/x')).status).toEqual(502);
      expect((await world.call('/safe/x')).status).toEqual(502);
      world.setScripts(answerWhole);
      expect((await world.call('/safe/x')).status).toEqual(200);
    });
  });
});
