/** Configuration and targets handed from gate to gate, over json-rpc. */
import {createServer} from 'node:net';
import {createRpcLink, openListener, openRpcLink} from '@nutmeggauge/core';
import type {Server, Socket} from 'node:net';
import type {ListenAddress} from '@nutmeggauge/core';
import type {FleetState, SharedFacts} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';

/** Longest exchange of facts, in ms. */
const FETCH_TIMEOUT_MS = 1200;

/** Method that hands out facts. */
const READ_FACTS = 'read-facts';

/** What a gate works with that hands its facts to others. */
export interface FactsServerOptions {
  readonly address: ListenAddress;
  readonly state: FleetState;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

/**
 * Listens for gates that ask for facts.
 *
 * @example
 * const server = await openFactsServer({address, state, log, readNow});
 */
export async function openFactsServer(
  options: FactsServerOptions,
): Promise<Server> {
  const {address, state} = options;
  const server = createServer(connection => {
    observeHandOver(connection, options);
    createRpcLink(connection).handle(READ_FACTS, () => state.describeShared());
  });
  await openListener(server, address);
  return server;
}

/** Logs to whom facts went, how much, and whether the asker hung up. */
function observeHandOver(
  connection: Socket,
  {log, readNow}: FactsServerOptions,
): void {
  const peer = connection.remoteAddress;
  const startedAt = readNow();
  connection.on('close', isCut =>
    log.info('facts_handed', {
      peer,
      bytes: connection.bytesWritten,
      ms: Math.round(readNow() - startedAt),
      isCut,
    }),
  );
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
