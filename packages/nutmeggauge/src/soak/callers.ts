/**
 * Callers of the soak; they keep connections open and reuse them until the
 * process behind them is gone.
 */
import {Agent, request} from 'node:http';
import {buildCallHeaders, isSigned} from '@nutmeggauge/platform';
import type {IncomingMessage} from 'node:http';
import type {StandinKind} from '@nutmeggauge/platform';
import type {CallerRecord} from './history.js';

/** Deadline of a caller, in ms: above every route's timeout. */
export const DEADLINE_MS = 5000;

/** A caller disconnects this long after its start, in ms. */
const LEAVE_AFTER_MS = DEADLINE_MS + 500;

/**
 * Prompt sizes of the soak's streams, in tokens: short ones, and one that
 * several engines prefill.
 */
const PROMPT_TOKENS = [3000, 3000, 60_000] as const;

/** A prompt that needs KV cache on helpers, in tokens. */
const HUGE_PROMPT_TOKENS = 400_000;

/** One stream in this many has it. */
const HUGE_EVERY = 12;

/** Share of the idle timeout after which a connection is not reused. */
const REUSED_SHARE = 0.8;

/** Where a gate takes requests. */
export interface GateEntry {
  readonly gate: number;
  readonly port: number;
}

/**
 * One caller.
 *
 * @example
 * const record = await new Caller('c1', 15_000).call(entry, 'safe', 'k1');
 */
export class Caller {
  private readonly agent: Agent;
  private lastNumber = 0;

  /**
   * @param idleTimeoutMs - Idle timeout of the gates, in ms.
   */
  constructor(
    private readonly name: string,
    idleTimeoutMs: number,
  ) {
    const timeout = idleTimeoutMs * REUSED_SHARE;
    this.agent = new Agent({keepAlive: true, maxSockets: 20, timeout});
  }

  /** Sends one request and waits for its end. */
  call(
    entry: GateEntry,
    kind: StandinKind,
    key: string,
  ): Promise<CallerRecord> {
    const number = ++this.lastNumber;
    const exchange = new CallerExchange({
      requestId: `${this.name}-${number}`,
      kind,
      gate: entry.gate,
      key,
      sentAt: performance.now(),
    });
    return exchange.run(
      entry.port,
      this.agent,
      countPromptTokens(kind, number),
    );
  }

  /** Closes its connections. */
  close(): void {
    this.agent.destroy();
  }
}

function countPromptTokens(
  kind: StandinKind,
  number: number,
): number | undefined {
  if (kind === 'safe' || kind === 'unsafe') return undefined;
  if (number % HUGE_EVERY === 0) return HUGE_PROMPT_TOKENS;
  return PROMPT_TOKENS[number % PROMPT_TOKENS.length];
}

type Sent = Pick<
  CallerRecord,
  'requestId' | 'kind' | 'gate' | 'key' | 'sentAt'
>;

/** One request under way. */
class CallerExchange {
  private status: number | undefined;
  private hasSignature = false;
  private body = '';
  private hasGivenUp = false;

  constructor(private readonly sent: Sent) {}

  run(
    port: number,
    agent: Agent,
    promptTokens: number | undefined,
  ): Promise<CallerRecord> {
    const {kind, requestId, key} = this.sent;
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
          deadlineMs: DEADLINE_MS,
          promptTokens,
        }),
      });
      const timer = setTimeout(() => {
        this.hasGivenUp = true;
        req.destroy();
      }, LEAVE_AFTER_MS);
      const finish = (isWhole: boolean) => {
        clearTimeout(timer);
        resolve(this.buildRecord(isWhole));
      };
      req.once('error', () => finish(false));
      req.once('response', res => this.read(res, finish));
      req.end();
    });
  }

  private read(res: IncomingMessage, finish: (isWhole: boolean) => void): void {
    this.status = res.statusCode;
    this.hasSignature = isSigned(res.headers);
    res.setEncoding('utf8');
    res.on('data', (text: string) => (this.body += text));
    res.once('error', () => finish(false));
    res.once('end', () => finish(res.complete));
  }

  private buildRecord(isWhole: boolean): CallerRecord {
    return {
      ...this.sent,
      endedAt: performance.now(),
      status: this.status,
      isSigned: this.hasSignature,
      isWhole,
      body: this.body,
      hasGivenUp: this.hasGivenUp,
    };
  }
}
