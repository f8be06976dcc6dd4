/**
 * Answers readiness checks of the load balancer and serves metrics, over HTTP.
 */
import {createServer, maxHeaderSize} from 'node:http';
import {
  PipelinedRequests,
  endResponse,
  openListener,
  readConnections,
} from '@nutmeggauge/core';
import {renderMetrics} from './metrics-text.js';
import type {RequestListener, Server} from 'node:http';
import type {ListenAddress, MemoryAccount} from '@nutmeggauge/core';
import type {DecisionLog} from './decision-log.js';
import type {MetricValues} from './metrics-text.js';

/**
 * HTTP listeners for the readiness and the metrics of one gate.
 *
 * @example
 * const status = new StatusServer(log, callerMemory);
 * await status.openReady(address, '/ready', () => true);
 */
export class StatusServer {
  private readonly servers: Server[] = [];
  private readonly pipelined = new PipelinedRequests(client =>
    this.log.warn('check_pipelining_closed', {client}),
  );

  constructor(
    private readonly log: DecisionLog,
    private readonly callerMemory: MemoryAccount,
  ) {}

  /**
   * Opens a listener that answers 200 on `path` while the gate is ready, 503
   * while it is not, and 404 on other paths.
   */
  async openReady(
    address: ListenAddress,
    path: string,
    isReady: () => boolean,
  ): Promise<void> {
    await this.open(address, (req, res) => {
      const status = req.url === path ? (isReady() ? 200 : 503) : 404;
      res.writeHead(status, {'Content-Length': 0});
      endResponse(res, '');
    });
  }

  /** Opens a listener that answers every path with the metrics. */
  async openMetrics(
    address: ListenAddress,
    readMetrics: () => MetricValues,
  ): Promise<void> {
    await this.open(address, (_, res) => {
      res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
      endResponse(res, renderMetrics(readMetrics()));
    });
  }

  private async open(
    address: ListenAddress,
    serve: RequestListener,
  ): Promise<void> {
    const server = createServer((req, res) => {
      if (this.pipelined.admit(req, res)) serve(req, res);
    });
    readConnections(server, {
      account: this.callerMemory,
      readMaxHeadBytes: () => maxHeaderSize,
      // No check needs a body.
      mayContinue: () => false,
    });
    this.servers.push(server);
    await openListener(server, address);
  }

  /** Closes all listeners. */
  close(): void {
    for (const server of this.servers) server.close();
  }
}
