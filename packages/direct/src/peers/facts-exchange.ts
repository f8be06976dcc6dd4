/**
 * Transfers facts (the configuration and the targets) between gates over
 * JSON-RPC. Each transfer has a connection of its own, which the client closes.
 */
import {createServer} from 'node:net';
import {
  ReadTimeout,
  createRpcLink,
  createRpcError,
  findRpcErrorCode,
  openListener,
  openRpcLink,
} from '@nutmeggauge/core';
import {FactsBusyError} from '../errors.js';
import {isNewer} from '../fleet/fact-position.js';
import {decodeSharedFacts, toKnownFacts} from './shared-facts.js';
import type {Server, Socket} from 'node:net';
import type {ListenAddress, RpcLink} from '@nutmeggauge/core';
import type {FleetState} from '../fleet/fleet-state.js';
import type {SharedFacts, FactVersions} from '../fleet/fleet-types.js';
import type {DecisionLog} from '../observe/decision-log.js';

/** Connect timeout, in ms; well above the round-trip time within a region. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Idle timeout of a transfer, in ms; above one TCP retransmission. A transfer
 * has no shorter total bound because its duration depends on the size of the
 * configuration and on the link.
 */
const IDLE_TIMEOUT_MS = 1000;

/** Timeout of a transfer, in ms, after which another gate can be asked. */
const FETCH_TIMEOUT_MS = 5000;

/** Largest request of a peer, and largest answer of one, in bytes. */
const MAX_REQUEST_BYTES = 64 * 1024;
const MAX_FACTS_BYTES = 16 * 1024 * 1024;

/** JSON-RPC method that returns facts. */
const READ_FACTS = 'read-facts';

/** Error code of a gate that already serves its maximum number of peers. */
const BUSY_CODE = 1;

/** Error code of a second request on a connection. */
const REPEATED_CODE = 2;

/**
 * Maximum number of peers that are sent a configuration at the same time. More
 * concurrent transfers would saturate a slow link, and each peer that has the
 * configuration also serves it to others.
 */
const MAX_CONCURRENT_TRANSFERS = 2;

/** Hands facts to peers and fetches theirs. */
export abstract class FactsExchange {
  /** Starts to hand facts to peers. */
  abstract open(): Promise<void>;

  /**
   * Fetches facts from the peer on `host` that are newer than the known ones.
   *
   * @throws FactsBusyError if the peer already serves its maximum number of
   *   gates.
   */
  abstract fetch(host: string, known: FactVersions): Promise<SharedFacts>;

  /** Stops to hand facts to peers. */
  abstract close(): void;
}

/**
 * Facts over JSON-RPC, at the same port of each gate.
 *
 * @example
 * const facts = new RpcFactsExchange({address, state, log, readNow});
 * await facts.open();
 */
export class RpcFactsExchange extends FactsExchange {
  private server: Server | undefined;

  constructor(private readonly options: FactsServerOptions) {
    super();
  }

  override async open(): Promise<void> {
    this.server = await openFactsServer(this.options);
  }

  override fetch(host: string, known: FactVersions): Promise<SharedFacts> {
    return fetchSharedFacts(`${host}:${this.options.address.port}`, known);
  }

  override close(): void {
    this.server?.close();
  }
}

/** Dependencies of the server that sends facts to peers. */
export interface FactsServerOptions {
  readonly address: ListenAddress;
  readonly state: FleetState;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /**
   * Idle timeout of a peer's connection, in ms.
   *
   * @default 1000
   */
  readonly idleMs?: number;
}

/**
 * Opens the server that sends facts to peers.
 *
 * @example
 * const server = await openFactsServer({address, state, log, readNow});
 */
export async function openFactsServer(
  options: FactsServerOptions,
): Promise<Server> {
  const {address, state, idleMs = IDLE_TIMEOUT_MS} = options;
  const transfers = new Set<Socket>();
  const server = createServer(connection => {
    observeTransfer(connection, options);
    connection.on('close', () => transfers.delete(connection));
    const link = createRpcLink(connection, undefined, MAX_REQUEST_BYTES);
    link.closeWhenIdle(idleMs);
    const markAsked = closeUnlessAskedOnce(connection, link, idleMs);
    link.handle(READ_FACTS, params => {
      markAsked();
      const known = toKnownFacts(params);
      const facts = state.describeShared(known);
      // The list of targets is small, so it does not count as a transfer.
      if (facts.config === undefined) return facts;
      if (transfers.size < MAX_CONCURRENT_TRANSFERS) {
        transfers.add(connection);
        return facts;
      }
      if (isNewer(facts.position, known.position))
        return {...facts, config: undefined};
      throw createRpcError(BUSY_CODE, 'busy');
    });
  });
  await openListener(server, address);
  return server;
}

/**
 * Closes a connection whose peer sends no request in time, or anything after its
 * request: each answer may be as large as the configuration. The returned function
 * marks a request; it throws if there was one before.
 */
function closeUnlessAskedOnce(
  connection: Socket,
  link: RpcLink,
  waitMs: number,
): () => void {
  let wasAsked = false;
  const timeout = new ReadTimeout(() => link.close(), waitMs);
  connection.once('close', () => timeout.stop());
  // Runs before the link reads the request out of the same bytes.
  connection.prependListener('data', () => {
    if (wasAsked || connection.bytesRead > MAX_REQUEST_BYTES) link.close();
  });
  return () => {
    if (wasAsked) {
      link.close();
      throw createRpcError(REPEATED_CODE, 'one request a connection');
    }
    wasAsked = true;
    timeout.stop();
  };
}

/**
 * Logs the end of a connection: the peer, the bytes queued for it, and whether
 * the connection failed.
 */
function observeTransfer(
  connection: Socket,
  {log, readNow}: FactsServerOptions,
): void {
  const peer = connection.remoteAddress;
  const startedAt = readNow();
  connection.on('close', isCut =>
    log.info('facts_handed', {
      peer,
      queuedBytes: connection.bytesWritten,
      ms: Math.round(readNow() - startedAt),
      isCut,
    }),
  );
}

/**
 * Fetches facts from a peer that are newer than the known ones.
 *
 * @param address - Address of the peer, `host:port`.
 * @throws FactsBusyError if the peer already serves its maximum number of
 *   gates; RpcClosedError or RpcFailedError if it does not answer; DecodeError
 *   if its answer is malformed.
 * @example
 * state.applyShared(await fetchSharedFacts('10.1.0.4:7340', known));
 */
export async function fetchSharedFacts(
  address: string,
  known: FactVersions,
): Promise<SharedFacts> {
  const link = await openRpcLink(
    address,
    undefined,
    CONNECT_TIMEOUT_MS,
    MAX_FACTS_BYTES,
  );
  link.closeWhenIdle(IDLE_TIMEOUT_MS);
  try {
    return decodeSharedFacts(await callForFacts(link, address, known));
  } finally {
    link.close();
  }
}

async function callForFacts(
  link: RpcLink,
  address: string,
  known: FactVersions,
): Promise<unknown> {
  try {
    return await link.call(READ_FACTS, known, FETCH_TIMEOUT_MS);
  } catch (error) {
    if (findRpcErrorCode(error) === BUSY_CODE)
      throw new FactsBusyError(
        `gate ${address} already serves its maximum number of gates`,
        error as Error,
      );
    throw error;
  }
}
