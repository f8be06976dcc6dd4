import {createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {NO_POSITION} from '../fleet/fact-position.js';
import {fetchSharedFacts} from './facts-exchange.js';
import type {Server} from 'node:net';

const KNOWN = {configVersion: 0, position: NO_POSITION};

/** Answer of a peer whose facts have the revision `revision`. */
function buildAnswer(revision: number, id = 1): string {
  const result = {
    position: {era: 1, revision},
    targets: [],
    held: [],
    doubts: [],
  };
  return JSON.stringify({jsonrpc: '2.0', id, result});
}

const WHOLE = buildAnswer(12);

interface PeerAnswer {
  readonly bytes: string;
  readonly end: 'FIN' | 'RST';
}

describe('facts of a peer that breaks its answer off', () => {
  let answer: PeerAnswer;
  let server: Server;
  let address: string;
  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        if (answer.end === 'FIN') return void socket.end(answer.bytes);
        socket.write(answer.bytes, () => socket.resetAndDestroy());
      });
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    address = `127.0.0.1:${port}`;
  });
  afterEach(() => void server.close());

  /** Returns the revision of the facts; undefined if there are none. */
  async function fetchRevision(next: PeerAnswer): Promise<number | undefined> {
    answer = next;
    return fetchSharedFacts(address, KNOWN).then(
      ({position}) => position.revision,
      () => undefined,
    );
  }

  for (const end of ['FIN', 'RST'] as const)
    it(`are not accepted when a ${end} cuts them anywhere`, async () => {
      // Guards against a part of the facts that is taken for all of them.
      for (let i = 0; i < WHOLE.length; i++) {
        const bytes = WHOLE.slice(0, i);
        expect(await fetchRevision({bytes, end})).toEqual(undefined);
      }
    });

  it('are not mixed with a second answer', async () => {
    // Guards against two answers that are read as one.
    for (let i = 0; i < WHOLE.length; i++) {
      const bytes = `${WHOLE.slice(0, i)}${buildAnswer(99)}\n`;
      const revision = await fetchRevision({bytes, end: 'FIN'});
      // With no byte of the first answer, the second is the only one.
      expect(revision).toEqual(i === 0 ? 99 : undefined);
    }
    for (const id of [1, 2]) {
      const bytes = `${WHOLE}\n${buildAnswer(99, id)}\n`;
      expect(await fetchRevision({bytes, end: 'FIN'})).toEqual(12);
    }
  });
});
