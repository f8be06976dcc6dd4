/**
 * Process-wide handler of uncaught errors. A late error of one connection must
 * not end the process with all its requests.
 */

/** Maximum length of a stack trace in a log line, in characters. */
const STACK_CHARS = 1500;

/** Log that the handler of uncaught errors writes to. */
export interface UncaughtErrorLog {
  error(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Options of the handler of uncaught errors. */
export interface UncaughtErrorHandlerOptions {
  readonly log: UncaughtErrorLog;
  /** Finishes requests in flight before a shutdown. */
  readonly drain: () => Promise<void>;
  /**
   * Longest wait for the drain, in ms. A request that is never counted as ended
   * would otherwise keep the process alive.
   */
  readonly drainLimitMs: number;
  readonly exit: (status: number) => void;
}

/** Exit status after an uncaught error that is not a connection error. */
const EXIT_UNCAUGHT = 1;

/** Codes of connection errors that Node raises without a system call. */
const CONNECTION_CODE = /^(ECONNRESET|EPIPE|HPE_[A-Z_]+)$/;

/**
 * Returns whether an error concerns a single connection, as shown by its system
 * call or its code. Such an error does not affect the state of the program.
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
 * Creates a handler of uncaught errors. Connection errors are only logged.
 * After any other error the state may be inconsistent, so the process drains
 * and exits, to be restarted.
 *
 * @example
 * handleUncaughtErrors(createUncaughtErrorHandler(options));
 */
export function createUncaughtErrorHandler(
  options: UncaughtErrorHandlerOptions,
): (error: unknown) => void {
  const {log} = options;
  let isShuttingDown = false;
  return error => {
    const goesOn = isConnectionError(error);
    const {message, stack, code} = toError(error);
    log.error('error_uncaught', {
      reason: message,
      code,
      stack: stack?.slice(0, STACK_CHARS),
      goesOn,
    });
    if (goesOn || isShuttingDown) return;
    isShuttingDown = true;
    void drainAndExit(options);
  };
}

/**
 * Passes uncaught exceptions and unhandled rejections to `handle`. Errors of
 * stdout and stderr, such as a closed pipe, are ignored.
 *
 * @example
 * handleUncaughtErrors(createUncaughtErrorHandler({log, drain, drainLimitMs, exit}));
 */
export function handleUncaughtErrors(handle: (error: unknown) => void): void {
  process.on('uncaughtException', handle);
  process.on('unhandledRejection', handle);
  process.stdout.on('error', () => undefined);
  process.stderr.on('error', () => undefined);
}

/** Drains, then exits, also when the drain fails or exceeds its limit. */
async function drainAndExit(
  options: UncaughtErrorHandlerOptions,
): Promise<void> {
  const {drain, drainLimitMs, exit} = options;
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>(resolve => {
    timer = setTimeout(resolve, drainLimitMs);
  });
  try {
    await Promise.race([drain(), limit]);
  } catch {
    // After a failed drain there is nothing to wait for.
  }
  clearTimeout(timer);
  exit(EXIT_UNCAUGHT);
}

/**
 * Converts any thrown value to an error, including objects without a string
 * form.
 */
function toError(thrown: unknown): NodeJS.ErrnoException {
  if (thrown instanceof Error) return thrown;
  return new Error(
    typeof thrown === 'object'
      ? 'thrown object is not an Error'
      : String(thrown),
  );
}
