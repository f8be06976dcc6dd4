/** Connections of a caller that tell a close from a reset. */
import {Agent} from 'node:http';
import {connect} from 'node:net';
import {observeEnd} from '@nutmeggauge/core';
import type {NetConnectOpts, Socket} from 'node:net';
import type {ConnectionEnd} from '@nutmeggauge/core';

/**
 * Keeps a caller's connections and observes how the peer ends each of them.
 *
 * @example
 * const agent = new ObservingAgent({keepAlive: true});
 * const end = await agent.waitForEnd(res.socket); // 'closed'
 */
export class ObservingAgent extends Agent {
  private readonly ends = new WeakMap<Socket, Promise<ConnectionEnd>>();

  /** Opens a connection for the agent. */
  override createConnection(options: NetConnectOpts): Socket {
    const socket = connect({...options, allowHalfOpen: true});
    const end = observeEnd(socket);
    this.ends.set(socket, end);
    // The agent drops an idle connection only once it is closed in both directions.
    void end.then(() => socket.end());
    return socket;
  }

  /** Waits until the peer has ended a connection of this agent. */
  async waitForEnd(socket: Socket): Promise<ConnectionEnd> {
    return (await this.ends.get(socket)) ?? 'reset';
  }
}
