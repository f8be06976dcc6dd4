/**
 * Stand-in for the platform's list of live and leaving hosts. Readers get the
 * list as it was `lagMs` ago.
 */
import {createServer} from 'node:http';
import {
  closeHttpServer,
  createLogger,
  openListener,
  readJsonBody,
  sendJson,
} from '@nutmeggauge/core';
import type {Server} from 'node:http';

/** One host in the list. */
export interface HostEntry {
  readonly id: string;
  readonly state: 'live' | 'leaving';
}

/** A running stand-in for the host list. */
export interface HostListStandIn {
  readonly server: Server;
  setHosts(hosts: readonly HostEntry[]): void;
  close(): Promise<void>;
}

/**
 * Starts a stand-in for the host list.
 *
 * @param lagMs - Age of the list that readers get, in ms.
 * @example
 * const hosts = await startHostListStandIn('127.0.0.1', 0, 1000);
 */
export async function startHostListStandIn(
  host: string,
  port: number,
  lagMs: number,
): Promise<HostListStandIn> {
  const log = createLogger('host-list');
  const history: Array<{
    readonly at: number;
    readonly hosts: readonly HostEntry[];
  }> = [{at: 0, hosts: []}];
  const setHosts = (hosts: readonly HostEntry[]): void => {
    history.push({at: Date.now(), hosts});
    log.info('hosts_changed', {
      count: hosts.length,
      leaving: hosts.filter(h => h.state === 'leaving').length,
    });
  };
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://hosts');
    if (req.method === 'POST' && url.pathname === '/admin/hosts') {
      void readJsonBody(req).then(body => {
        setHosts(((body as {hosts?: HostEntry[]})?.hosts ?? []) as HostEntry[]);
        sendJson(res, 200, {ok: true});
      });
      return;
    }
    if (req.method !== 'GET' || url.pathname !== '/v1/hosts') {
      sendJson(res, 404, {error: 'not_found'});
      return;
    }
    const cutoff = Date.now() - lagMs;
    const visible =
      history.filter(entry => entry.at <= cutoff).at(-1) ?? history[0];
    sendJson(res, 200, {hosts: visible.hosts, asOf: visible.at});
  });
  await openListener(server, {host, port});
  log.info('hosts_listening', {lagMs});
  return {
    server,
    setHosts,
    close: () => closeHttpServer(server),
  };
}
