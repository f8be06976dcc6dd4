/** Configuration and targets handed from gate to gate, over json-rpc. */
import {createServer} from 'node:net';
import {createRpcLink, openListener, openRpcLink} from '@nutmeggauge/core';
import type {Server} from 'node:net';
import type {ListenAddress} from '@nutmeggauge/core';
import type {FleetState, SharedFacts} from '../fleet/fleet-state.js';

/** Longest exchange of facts, in ms. */
const FETCH_TIMEOUT_MS = 1200;

/** Method that hands out facts. */
const READ_FACTS = 'read-facts';

/**
 * Listens for gates that ask for facts.
 *
 * @example
 * const server = await openFactsServer({host: '10.1.0.4', port: 7340}, state);
 */
export async function openFactsServer(
  address: ListenAddress,
  state: FleetState,
): Promise<Server> {
  const server = createServer(connection => {
    createRpcLink(connection).handle(READ_FACTS, () => state.describeShared());
  });
  await openListener(server, address);
  return server;
}

/**
 * Asks a gate for its facts; the time-out covers the connection as well.
 *
 * @param address - Where it listens, `host:port`.
 * @example
 * state.applyShared(await fetchSharedFacts('10.1.0.4:7340'));
 */
export async function fetchSharedFacts(address: string): Promise<SharedFacts> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error('no answer in time')),
      FETCH_TIMEOUT_MS,
    );
  });
  const opening = openRpcLink(address);
  try {
    const link = await Promise.race([opening, timeout]);
    return await Promise.race([
      link.call<SharedFacts>(READ_FACTS, {}),
      timeout,
    ]);
  } finally {
    clearTimeout(timer);
    void opening.then(
      link => link.close(),
      () => undefined,
    );
  }
}
