/**
 * Stand-in for the configuration service. Readers fetch the current record or
 * watch for a newer one by long polling. An admin API, used by the tests and
 * the demo in place of an operator, publishes records and switches the service
 * to unavailable or stale. The stand-in counts every reader request; a watch
 * counts once.
 */
import {createServer} from 'node:http';
import {
  DELTA_SECTIONS,
  buildDelta,
  closeHttpServer,
  createLogger,
  openListener,
  readJsonBody,
  sendJson,
} from '@nutmeggauge/core';
import type {Server, ServerResponse} from 'node:http';

type StoredRecord = Readonly<Record<string, unknown>>;

/**
 * How the stand-in answers readers: with the newest record (`up`), with status
 * 503 (`down`), or with the oldest record (`stale`).
 */
export type ConfigServiceMode = 'up' | 'down' | 'stale';

/** A running stand-in for the configuration service. */
export interface ConfigServiceStandIn {
  readonly server: Server;
  /** Publishes a record, notifies watchers and returns its new version. */
  publish(record: Readonly<Record<string, unknown>>): number;
  setMode(mode: ConfigServiceMode): void;
  /** Returns the number of reader requests received so far. */
  readonly calls: () => number;
  close(): Promise<void>;
}

/**
 * Empties the sections of `record` that a reader did not ask for.
 *
 * @param sections - Comma-separated names; null asks for all sections.
 */
function pickSections(
  record: Readonly<Record<string, unknown>>,
  sections: string | null,
): Readonly<Record<string, unknown>> {
  if (sections === null) return record;
  const wanted = new Set(sections.split(','));
  const emptied = DELTA_SECTIONS.filter(section => !wanted.has(section)).map(
    section => [section, []] as const,
  );
  return {...record, ...Object.fromEntries(emptied)};
}

/**
 * Starts a stand-in for the configuration service.
 *
 * @example
 * const service = await startConfigServiceStandIn('127.0.0.1', 0);
 * service.publish({schemaVersion: 1, accounts: [], pools: []});
 */
export async function startConfigServiceStandIn(
  host: string,
  port: number,
): Promise<ConfigServiceStandIn> {
  const log = createLogger('config-service');
  const records: StoredRecord[] = [];
  const watchers = new Set<() => void>();
  let mode: ConfigServiceMode = 'up';
  let calls = 0;

  const publish = (record: Readonly<Record<string, unknown>>): number => {
    const version = records.length + 1;
    records.push({...record, version});
    log.info('record_published', {version});
    for (const wake of [...watchers]) wake();
    return version;
  };
  const setMode = (next: ConfigServiceMode): void => {
    mode = next;
    log.info('mode_changed', {mode});
  };

  /**
   * Renders the answer to a reader that holds version `after`: the changed
   * items when the service has that version, else the whole record.
   */
  const renderUpdate = (
    latest: StoredRecord,
    after: number,
    sections: string | null,
  ): object => {
    const held = records[after - 1];
    if (held === undefined) return pickSections(latest, sections);
    return buildDelta(
      pickSections(held, sections),
      pickSections(latest, sections),
    );
  };

  /** Finds the newest record with a schema version that the reader supports. */
  const findLatest = (schemas: string | null): StoredRecord | undefined => {
    if (schemas === null) return records.at(-1);
    const known = new Set(schemas.split(',').map(Number));
    return records.findLast(r => known.has(r.schemaVersion as number));
  };

  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://config');
    if (url.pathname.startsWith('/admin/')) {
      void serveAdmin(url.pathname, res, req);
      return;
    }
    if (req.method !== 'GET' || url.pathname !== '/v1/records/current') {
      sendJson(res, 404, {error: 'not_found'});
      return;
    }
    calls++;
    if (mode === 'down') {
      sendJson(res, 503, {error: 'unavailable'});
      return;
    }
    if (mode === 'stale') {
      // Like a lagging replica, answers at once with the oldest record.
      if (records.length === 0) sendJson(res, 404, {error: 'no_record'});
      else sendJson(res, 200, records[0]);
      return;
    }
    const after = Number(url.searchParams.get('after') ?? 0);
    const watchTimeoutMs = Math.min(
      60_000,
      Number(url.searchParams.get('waitMs') ?? 0),
    );
    const answer = (): boolean => {
      const latest = findLatest(url.searchParams.get('schemas'));
      if (latest === undefined || (latest.version as number) <= after)
        return false;
      const sections = url.searchParams.get('sections');
      sendJson(res, 200, renderUpdate(latest, after, sections));
      return true;
    };
    if (answer() || watchTimeoutMs <= 0) {
      if (!res.headersSent) res.writeHead(304).end();
      return;
    }
    const wake = (): void => {
      if (mode !== 'up' || !answer()) return;
      cleanup();
    };
    const timer = setTimeout(() => {
      cleanup();
      res.writeHead(304).end();
    }, watchTimeoutMs);
    const cleanup = (): void => {
      clearTimeout(timer);
      watchers.delete(wake);
    };
    watchers.add(wake);
    res.on('close', cleanup);
  });

  async function serveAdmin(
    path: string,
    res: ServerResponse,
    req: Parameters<typeof readJsonBody>[0],
  ): Promise<void> {
    if (path === '/admin/stats') {
      sendJson(res, 200, {calls, mode, versions: records.length});
      return;
    }
    const body = (await readJsonBody(req)) as
      Record<string, unknown> | undefined;
    if (path === '/admin/publish' && body !== undefined) {
      sendJson(res, 200, {version: publish(body)});
      return;
    }
    if (
      path === '/admin/mode' &&
      (body?.mode === 'up' || body?.mode === 'down' || body?.mode === 'stale')
    ) {
      setMode(body.mode);
      sendJson(res, 200, {mode});
      return;
    }
    sendJson(res, 400, {error: 'bad_request'});
  }

  await openListener(server, {host, port});
  log.info('config_service_listening', {address: server.address()});
  return {
    server,
    publish,
    setMode,
    calls: () => calls,
    close: () => closeHttpServer(server),
  };
}
