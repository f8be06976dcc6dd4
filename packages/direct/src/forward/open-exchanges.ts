/**
 * Tracks running exchanges by the address of their target. A server that loses
 * power resets no connection; a new server at the same address shows that the
 * earlier server has ended.
 */
import {isNewer} from '../fleet/fact-position.js';
import {openExchange} from './exchange.js';
import type {Target} from '../types.js';
import type {Exchange} from './exchange.js';
import type {ExchangeOptions} from './exchange-options.js';

interface OpenExchange {
  readonly exchange: Exchange;
  readonly target: Target;
}

/**
 * Running exchanges of one gate.
 *
 * @example
 * const exchange = exchanges.open({target, method, path, headers, body});
 * exchanges.endReplaced(newTarget);
 */
export class OpenExchanges {
  private readonly byAddress = new Map<string, Set<OpenExchange>>();

  /** Sends a request to a target and tracks it until its connection closes. */
  open(options: ExchangeOptions): Exchange {
    const {target} = options;
    const exchange = openExchange(options);
    const open = {exchange, target};
    const address = formatAddress(target);
    const sameAddress = this.byAddress.get(address) ?? new Set();
    this.byAddress.set(address, sameAddress.add(open));
    exchange.onClose(() => {
      sameAddress.delete(open);
      if (sameAddress.size === 0) this.byAddress.delete(address);
    });
    return exchange;
  }

  /**
   * Fails the exchanges with servers that used the address of `target` before
   * this target did.
   */
  endReplaced(target: Target): void {
    const sameAddress = this.byAddress.get(formatAddress(target)) ?? [];
    for (const {exchange, target: earlier} of [...sameAddress]) {
      // Neither a delayed update of an older entry nor an earlier server that a
      // restored store lists must fail newer exchanges.
      const isReplaced =
        earlier.id !== target.id &&
        isNewer(target.position, earlier.position) &&
        !isUncertain(target, earlier) &&
        !isBornBefore(target, earlier);
      if (isReplaced) exchange.markBroken();
    }
  }
}

/** Whether two entries of one name may describe the same process. */
function isUncertain(target: Target, other: Target): boolean {
  const isUnknown = target.bornAt === undefined || other.bornAt === undefined;
  return isUnknown && target.name === other.name;
}

function isBornBefore(target: Target, other: Target): boolean {
  if (target.bornAt === undefined || other.bornAt === undefined) return false;
  return target.bornAt < other.bornAt;
}

function formatAddress({host, port}: Target): string {
  return `${host}:${port}`;
}
