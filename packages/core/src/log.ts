/**
 * Structured logging: one JSON object per line on stderr, through loglevel.
 * Each line has the fields `t` (epoch ms), `proc` (process name), `level` and
 * `event`, so that `nutmeggauge timeline` can merge the logs of all processes.
 */
import loglevel from 'loglevel';
import {readClockMs} from './clock.js';

/** Additional fields of one log line; values must be JSON-serializable. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger of one component of this process. */
export interface Logger {
  /** Logs a change of state. */
  info(event: string, fields?: LogFields): void;
  /** Logs a failure after which the process keeps running. */
  warn(event: string, fields?: LogFields): void;
  /** Logs a failure that ends the process or leaves it broken. */
  error(event: string, fields?: LogFields): void;
  /** Logs details for debugging; disabled unless NUTMEGGAUGE_LOG=debug. */
  debug(event: string, fields?: LogFields): void;
}

let processName = 'nutmeggauge';

/**
 * Sets the `proc` field of all log lines that this process writes.
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
 * @param component - Short name of the component, such as `admission`.
 * @example
 * const log = createLogger('routing');
 * log.info('target_added', {target: 'engine-1'});
 */
export function createLogger(component: string): Logger {
  const base = loglevel.getLogger(component);
  const configuredLevel = process.env.NUTMEGGAUGE_LOG ?? 'info';
  base.setLevel(
    configuredLevel === 'debug' ||
      configuredLevel === 'warn' ||
      configuredLevel === 'silent'
      ? configuredLevel
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
