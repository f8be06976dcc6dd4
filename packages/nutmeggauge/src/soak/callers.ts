/**
 * HTTP callers of the soak. Callers use keep-alive connections and reuse them
 * until the gate process at the other end exits.
 */
import {request} from 'node:http';
import {buildCallHeaders, isSigned} from '@nutmeggauge/platform';
import {ObservingAgent} from './observing-agent.js';
import type {IncomingMessage} from 'node:http';
import type {ConnectionEnd} from '@nutmeggauge/core';
import type {StandinKind} from '@nutmeggauge/platform';
import type {CallerRecord} from './history.js';

/** Deadline of a caller's request, in ms: above every route's timeout. */
export const DEADLINE_MS = 5000;

/** Time after which a caller disconnects without a complete response, in ms. */
const DISCONNECT_AFTER_MS = DEADLINE_MS + 500;

/**
 * Prompt sizes of the soak's streams, in tokens: short prompts, and one that
 * several engines prefill together.
 */
const PROMPT_TOKENS = [3000, 3000, 60_000] as const;

/** Size of a prompt that needs KV cache on helper engines, in tokens. */
const HUGE_PROMPT_TOKENS = 400_000;

/** Number of a caller's requests from one huge prompt to the next. */
const HUGE_PROMPT_INTERVAL = 12;

/**
 * Share of the gates' idle timeout after which a caller drops an idle
 * connection.
 */
const MAX_IDLE_SHARE = 0.8;

/** Connections of one caller, if not set. */
const MAX_CONNECTIONS = 20;

/** Port on which callers reach a gate. */
export interface GateEndpoint {
  readonly gate: number;
  readonly port: number;
}

/** Options of one request. */
export interface CallOptions {
  /** Body to send; by default one that differs each time. */
  readonly content?: string;
  /**
   * Time after which the caller disconnects without a complete response, in ms.
   *
   * @default after its deadline
   */
  readonly patienceMs?: number;
  /**
   * Size of a prompt, in tokens.
   *
   * @default differs from request to request
   */
  readonly promptTokens?: number;
  /**
   * Most output tokens of a long stream.
   *
   * @default none; the stream is short
   */
  readonly outputTokens?: number;
  /**
   * Time after which the caller has no use for a response, in ms.
   *
   * @default above every route's timeout but that of long streams
   */
  readonly deadlineMs?: number;
  /**
   * Ids of the parts of a prompt that it shares with others.
   *
   * @default none
   */
  readonly sharedParts?: readonly string[];
}

/** Id of the last part of each prompt, which is its own. */
const OWN_PART = 'e0';

/**
 * A caller that sends requests to gates over keep-alive connections that no
 * other caller uses.
 *
 * @example
 * const record = await new Caller('c1', 15_000).call(endpoint, 'safe', 'k1');
 */
export class Caller {
  private readonly agent: ObservingAgent;
  private lastRequestNumber = 0;

  /**
   * @param idleTimeoutMs - Idle timeout of the gates' connections, in ms.
   * @param maxSockets - Connections of this caller.
   */
  constructor(
    private readonly name: string,
    idleTimeoutMs: number,
    maxSockets = MAX_CONNECTIONS,
  ) {
    const timeout = idleTimeoutMs * MAX_IDLE_SHARE;
    this.agent = new ObservingAgent({keepAlive: true, maxSockets, timeout});
  }

  /**
   * Sends one request and resolves with its record once the request has ended.
   *
   */
  call(
    endpoint: GateEndpoint,
    kind: StandinKind,
    key: string,
    options: CallOptions = {},
  ): Promise<CallerRecord> {
    const requestNumber = ++this.lastRequestNumber;
    const requestId = `${this.name}-${requestNumber}`;
    const {content, patienceMs = DISCONNECT_AFTER_MS} = options;
    const exchange = new CallerExchange({
      requestId,
      kind,
      gate: endpoint.gate,
      key,
      sentAt: performance.now(),
      outputTokens: options.outputTokens,
    });
    return exchange.run(
      options.deadlineMs ?? DEADLINE_MS,
      endpoint.port,
      this.agent,
      isPrompt(kind)
        ? (options.promptTokens ?? choosePromptTokens(requestNumber))
        : undefined,
      // Polls are the same each time; other requests differ.
      kind === 'safe' ? undefined : (content ?? requestId),
      patienceMs,
      isPrompt(kind) ? [...(options.sharedParts ?? []), OWN_PART] : undefined,
    );
  }

  /** Closes the caller's connections. */
  close(): void {
    this.agent.destroy();
  }
}

function isPrompt(kind: StandinKind): boolean {
  return kind !== 'safe' && kind !== 'unsafe';
}

function choosePromptTokens(requestNumber: number): number {
  if (requestNumber % HUGE_PROMPT_INTERVAL === 0) return HUGE_PROMPT_TOKENS;
  return PROMPT_TOKENS[requestNumber % PROMPT_TOKENS.length];
}

type SentRequestFields = Pick<
  CallerRecord,
  'requestId' | 'kind' | 'gate' | 'key' | 'sentAt' | 'outputTokens'
>;

/** Exchange of one request and its response. */
class CallerExchange {
  private status: number | undefined;
  private hasSignature = false;
  private body = '';
  private hasGivenUp = false;
  private isUnframed = false;

  constructor(private readonly sent: SentRequestFields) {}

  run(
    deadlineMs: number,
    port: number,
    agent: ObservingAgent,
    promptTokens: number | undefined,
    content: string | undefined,
    patienceMs: number,
    parts: readonly string[] | undefined,
  ): Promise<CallerRecord> {
    const {kind, requestId, key, outputTokens} = this.sent;
    return new Promise(resolve => {
      const req = request({
        host: '127.0.0.1',
        port,
        path: `/${kind}/x`,
        method: kind === 'safe' ? 'GET' : 'POST',
        agent,
        headers: buildCallHeaders({
          requestId,
          key,
          deadlineMs,
          promptTokens,
          outputTokens,
          parts,
        }),
      });
      const timer = setTimeout(() => {
        this.hasGivenUp = true;
        req.destroy();
      }, patienceMs);
      const finish = (isWhole: boolean) => {
        clearTimeout(timer);
        resolve(this.buildRecord(isWhole));
      };
      req.on('error', () => finish(false));
      req.once('response', res =>
        this.readResponse(res, agent.waitForEnd(res.socket), finish),
      );
      req.end(content);
    });
  }

  private readResponse(
    res: IncomingMessage,
    connectionEnd: Promise<ConnectionEnd>,
    finish: (isWhole: boolean) => void,
  ): void {
    this.status = res.statusCode;
    this.hasSignature = isSigned(res.headers);
    this.isUnframed =
      res.headers['content-length'] === undefined &&
      res.headers['transfer-encoding'] === undefined;
    res.setEncoding('utf8');
    res.on('data', (text: string) => (this.body += text));
    res.once('error', () => finish(false));
    res.once('end', () => {
      if (!this.isUnframed) return finish(res.complete);
      void connectionEnd.then(end => finish(res.complete && end === 'closed'));
    });
  }

  private buildRecord(isWhole: boolean): CallerRecord {
    return {
      ...this.sent,
      endedAt: performance.now(),
      status: this.status,
      isSigned: this.hasSignature,
      isWhole,
      ...(this.isUnframed ? {isUnframed: true} : {}),
      body: this.body,
      hasGivenUp: this.hasGivenUp,
    };
  }
}
