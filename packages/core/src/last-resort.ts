/**
 * Last handler of uncaught errors: one connection's late error must not end the
 * process with all its requests.
 */

/** Most characters of a stack in a log line. */
const STACK_CHARS = 1500;

/** Log of the handler. */
export interface LastResortLog {
  error(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Dependencies of the handler. */
export interface LastResortOptions {
  readonly log: LastResortLog;
  /** Shuts down gracefully. */
  readonly drain: () => Promise<void>;
  /**
   * Longest wait for the drain, in ms: a request that is never counted down
   * would keep the process alive.
   */
  readonly drainLimitMs: number;
  readonly exit: (status: number) => void;
}

/** Exit status after an error of the program. */
const EXIT_UNCAUGHT = 1;

/**
 * Codes of connection errors that Node raises itself, without a system call.
 */
const CONNECTION_CODE = /^(ECONNRESET|EPIPE|HPE_[A-Z_]+)$/;

/**
 * Says whether an error belongs to a single connection: the system call or the
 * code names it. The program's own state is not affected.
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
 * Creates the handler. Connection errors are logged; after any other error the
 * state may be inconsistent, so the process shuts down gracefully and is
 * restarted.
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
 * Passes every uncaught error to `handle`, including errors of closed output
 * streams.
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
    // A failed drain leaves nothing to wait for.
  }
  clearTimeout(timer);
  exit(EXIT_UNCAUGHT);
}

/** Anything may be thrown, including objects without a text. */
function toError(thrown: unknown): NodeJS.ErrnoException {
  if (thrown instanceof Error) return thrown;
  return new Error(
    typeof thrown === 'object' ? 'no error object' : String(thrown),
  );
}
