/**
 * The last handler of errors that nothing else caught. Without it one
 * connection's late error ends the process, and with it every request that
 * the process has under way.
 */

/** Most of a stack that goes into a log line, in characters. */
const STACK_CHARS = 1500;

/** Where the handler writes what it met. */
export interface LastResortLog {
  error(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** What the handler works with. */
export interface LastResortOptions {
  readonly log: LastResortLog;
  /** Ends the process in order: serves what is under way, takes nothing new. */
  readonly drain: () => Promise<void>;
  /**
   * Longest wait for the drain, in ms. The fault may have left a request that
   * is never counted down; a process that waits for it takes nothing and is
   * not started anew.
   */
  readonly drainLimitMs: number;
  readonly exit: (status: number) => void;
}

/** Exit status of a process that ended since its own state is in doubt. */
const EXIT_UNCAUGHT = 1;

/**
 * Codes by which Node itself words an error of one connection, with no call
 * of the system: a hang-up before the answer, a write behind it, bytes that
 * are no HTTP.
 */
const CONNECTION_CODE = /^(ECONNRESET|EPIPE|HPE_[A-Z_]+)$/;

/**
 * Says whether an error is one of a single connection or socket: the system
 * names the call that failed, or Node the fault of the connection. Nothing of
 * the program's own state is in doubt then, and whoever used that connection
 * hears of its end by its close.
 *
 * @example
 * isConnectionError(new Error('x')); // false
 */
export function isConnectionError(error: unknown): boolean {
  const {syscall, code} = (error ?? {}) as NodeJS.ErrnoException;
  if (typeof code !== 'string') return false;
  return typeof syscall === 'string' || CONNECTION_CODE.test(code);
}

/**
 * Creates the handler. An error of a connection is logged and the process
 * goes on; after any other the program may hold a half-made change, so it
 * serves what it has and ends, to be started anew.
 *
 * @example
 * observeUncaught(createLastResort(options));
 */
export function createLastResort(
  options: LastResortOptions,
): (error: unknown) => void {
  const {log} = options;
  let isEnding = false;
  return error => {
    const goesOn = isConnectionError(error);
    const {message, stack, code} = toError(error);
    log.error('error_uncaught', {
      reason: message,
      code,
      stack: stack?.slice(0, STACK_CHARS),
      goesOn,
    });
    if (goesOn || isEnding) return;
    isEnding = true;
    void endInOrder(options);
  };
}

/**
 * Hands every error that nothing else caught to `handle`, as long as the
 * process lives. A reader of its output that has gone is no reason to end
 * either: unheard, the first line written after that ended the process.
 *
 * @example
 * observeUncaught(createLastResort({log, drain, drainLimitMs, exit}));
 */
export function observeUncaught(handle: (error: unknown) => void): void {
  process.on('uncaughtException', handle);
  process.on('unhandledRejection', handle);
  process.stdout.on('error', () => undefined);
  process.stderr.on('error', () => undefined);
}

/** Never rejects, and exits once. */
async function endInOrder(options: LastResortOptions): Promise<void> {
  const {drain, drainLimitMs, exit} = options;
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>(resolve => {
    timer = setTimeout(resolve, drainLimitMs);
  });
  try {
    await Promise.race([drain(), limit]);
  } catch {
    // A drain that fails has nothing left to wait for.
  }
  clearTimeout(timer);
  exit(EXIT_UNCAUGHT);
}

/** Whatever was thrown; an object without a prototype has no text. */
function toError(thrown: unknown): NodeJS.ErrnoException {
  if (thrown instanceof Error) return thrown;
  return new Error(
    typeof thrown === 'object' ? 'no error object' : String(thrown),
  );
}
