/**
 * Structured logging: one JSON object a line on stderr, through loglevel.
 * Each line carries `t` (epoch ms), `proc` (process name), `level` and
 * `event`, so that `nutmeggauge timeline` can merge every process's log.
 */
import loglevel from 'loglevel';
import {readClockMs} from './clock.js';

/** Fields attached to one log line; values must be JSON-serialisable. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger bound to one process and one component. */
export interface Logger {
  /** A change of state worth a line of its own. */
  info(event: string, fields?: LogFields): void;
  /** A failure that the process survives. */
  warn(event: string, fields?: LogFields): void;
  /** A failure that ends or breaks the process. */
  error(event: string, fields?: LogFields): void;
  /** Detail for debugging; off unless NUTMEGGAUGE_LOG=debug. */
  debug(event: string, fields?: LogFields): void;
}

let processName = 'nutmeggauge';

/**
 * Sets the `proc` field of every line written by this process.
 *
 * @example
 * setProcessName('gate-1');
 */
export function setProcessName(name: string): void {
  processName = name;
}

function writeLine(
  level: string,
  component: string,
  event: string,
  fields?: LogFields,
): void {
  const line = {
    t: readClockMs(),
    proc: processName,
    component,
    level,
    event,
    ...fields,
  };
  process.stderr.write(JSON.stringify(line) + '\n');
}

/**
 * Creates a logger for one component of this process.
 *
 * @param component - Short name of the slice, such as `admission`.
 * @example
 * const log = createLogger('routing');
 * log.info('target_added', {target: 'engine-1'});
 */
export function createLogger(component: string): Logger {
  const base = loglevel.getLogger(component);
  const wanted = process.env.NUTMEGGAUGE_LOG ?? 'info';
  base.setLevel(
    wanted === 'debug' || wanted === 'warn' || wanted === 'silent'
      ? wanted
      : 'info',
  );
  base.methodFactory = (methodName: string) => {
    return (event: string, fields?: LogFields) =>
      writeLine(methodName, component, event, fields);
  };
  base.rebuild();
  return {
    info: (event, fields) => base.info(event, fields),
    warn: (event, fields) => base.warn(event, fields),
    error: (event, fields) => base.error(event, fields),
    debug: (event, fields) => base.debug(event, fields),
  };
}
