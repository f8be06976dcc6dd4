/** Checks whether the server that broke off an answer is still running. */
import {connect} from 'node:net';
/** Timeout of one connection attempt, in ms; above a round trip in a region. */
const CONNECT_TIMEOUT_MS = 100;

/** Number of connection attempts, as a packet may be lost. */
const MAX_CONNECTS = 2;

/**
 * State of a server: its port refuses connections (`ended`), accepts them
 * (`up`), or does not respond (`silent`).
 */
export type ServerState = 'ended' | 'up' | 'silent';

/** Address of a server. */
export interface ServerAddress {
  readonly host: string;
  readonly port: number;
}

/** Checks the state of servers. */
export abstract class ServerCheck {
  /** Checks a server that has closed a connection. */
  abstract check(address: ServerAddress): Promise<ServerState>;
}

/**
 * Checks servers by opening a connection, which any kind of server answers.
 *
 * @example
 * await new ConnectionCheck().check({host, port}); // 'up'
 */
export class ConnectionCheck extends ServerCheck {
  override async check({host, port}: ServerAddress): Promise<ServerState> {
    for (let i = 0; i < MAX_CONNECTS; i++) {
      const state = await tryConnect(host, port);
      if (state !== 'silent') return state;
    }
    return 'silent';
  }
}

function tryConnect(host: string, port: number): Promise<ServerState> {
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (state: ServerState) => {
      resolve(state);
      socket.destroy();
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish('silent'));
    socket.once('connect', () => finish('up'));
    // The handler stays registered, because a socket may fail again after its
    // first error.
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'ended' : 'silent'),
    );
  });
}
