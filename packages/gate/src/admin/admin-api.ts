/**
 * Administration API of a gate on a separate port. Shows the gate's targets,
 * client accounts, configuration record and metrics, and checks a record before
 * an operator publishes it. The API is read-only: operators change the system
 * by publishing records.
 */
import {createServer, maxHeaderSize} from 'node:http';
import {
  ConfigRecordError,
  openListener,
  readConnections,
  readJsonBody,
  readPath,
  readPort,
  resolveConfigRecord,
  sendJson,
} from '@nutmeggauge/core';
import {renderPrometheus} from './prometheus.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  ConfigRecord,
  Counters,
  LatencyHistogram,
  MemoryAccount,
  ListenAddress,
} from '@nutmeggauge/core';
import type {AccountLimits} from '../admission/limits.js';
import type {Membership} from '../membership/membership.js';

/** The gate's state that the administration API reads. */
export interface AdminContext {
  readonly gateId: string;
  readonly zone: string;
  readonly counters: Counters;
  readonly ttft: LatencyHistogram;
  readonly limits: AccountLimits;
  /** What callers make the gate hold. */
  readonly callerMemory: MemoryAccount;
  readonly membership: Membership;
  readonly readRecord: () => ConfigRecord | undefined;
  readonly isDraining: () => boolean;
}

/** Options of the administration API. */
export interface AdminApiOptions {
  readonly listen: ListenAddress;
  /**
   * Bearer token that clients must send; optional on a loopback address only.
   */
  readonly token?: string;
  readonly context: AdminContext;
}

/**
 * Serves the administration API over HTTP.
 *
 * @example
 * const admin = new AdminApi({listen: {host: '127.0.0.1', port: 0}, context});
 * await admin.start();
 */
export class AdminApi {
  private readonly server = createServer((req, res) => {
    // A request that fails, for instance because the client disconnects, gets
    // no answer.
    this.serve(req, res).catch(() => res.destroy());
  });

  constructor(private readonly options: AdminApiOptions) {
    readConnections(this.server, {
      account: options.context.callerMemory,
      readMaxHeadBytes: () => maxHeaderSize,
      mayContinue: () => true,
    });
  }

  /** The bound port, after `start`. */
  get port(): number {
    return readPort(this.server);
  }

  async start(): Promise<void> {
    await openListener(this.server, this.options.listen);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {token, context} = this.options;
    if (
      token !== undefined &&
      req.headers.authorization !== `Bearer ${token}`
    ) {
      sendJson(res, 401, {error: {type: 'unauthorized'}});
      return;
    }
    const path = readPath(req);
    switch (`${req.method} ${path}`) {
      case 'GET /v1/status':
        return sendJson(res, 200, this.describeStatus());
      case 'GET /v1/targets':
        return sendJson(res, 200, {targets: this.describeTargets()});
      case 'GET /v1/accounts':
        return sendJson(res, 200, {accounts: context.limits.describe()});
      case 'GET /v1/counters':
        return sendJson(res, 200, {
          counters: context.counters.read(),
          ttftMs: context.ttft.summarize(),
        });
      case 'GET /metrics':
        return this.sendMetrics(res);
      case 'POST /v1/record/check':
        return sendJson(res, 200, checkRecord(await readJsonBody(req)));
      default:
        return sendJson(res, 404, {error: {type: 'not_found', path}});
    }
  }

  private describeStatus(): object {
    const {gateId, zone, readRecord, isDraining, membership} =
      this.options.context;
    const record = readRecord();
    return {
      id: gateId,
      zone,
      draining: isDraining(),
      record: {
        version: record?.version ?? 0,
        schemaVersion: record?.schemaVersion,
        accounts: record?.accounts.length ?? 0,
        pools: record?.pools.length ?? 0,
      },
      links: membership.listStarted().length,
    };
  }

  private describeTargets(): readonly object[] {
    return this.options.context.membership.listStarted().map(connection => ({
      id: connection.id,
      pool: connection.pool,
      zone: connection.zone,
      usable: connection.isUsable,
      outstanding: connection.outstanding,
      load: connection.load,
    }));
  }

  private async sendMetrics(res: ServerResponse): Promise<void> {
    const {counters, ttft} = this.options.context;
    const text = await renderPrometheus(counters.read(), ttft.summarize());
    res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
    res.end(text);
  }
}

/**
 * Checks whether gates would accept a record; if not, returns a reason that
 * names every invalid key.
 */
function checkRecord(raw: unknown): object {
  try {
    const record = resolveConfigRecord(raw);
    return {ok: true, version: record.version};
  } catch (error) {
    if (!(error instanceof ConfigRecordError)) throw error;
    return {ok: false, reason: error.message};
  }
}
