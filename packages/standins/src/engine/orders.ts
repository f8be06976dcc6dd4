/**
 * Handling of orders by the engine stand-in: orders load a model or adapters or
 * set the engine's role. In mode `refuse` the engine remembers the highest
 * fencing token and refuses orders with a lower one; in mode `ignore` it
 * applies every order in the order of arrival.
 */
import {createLogger} from '@nutmeggauge/core';
import type {FencingMode} from './options.js';

/**
 * An order to the engine; outdated if an earlier order had a higher `fence`.
 */
export interface EngineOrder {
  readonly fence: number;
  readonly kind: 'load-model' | 'load-adapters' | 'set-role';
  readonly value: string;
}

/** Field of the engine's setting that each kind of order changes. */
const STATE_KEY = {
  'load-model': 'model',
  'load-adapters': 'adapters',
  'set-role': 'role',
} as const;

/** Model, adapters and role that the engine is set to. */
export type EngineSetting = Readonly<
  Partial<Record<(typeof STATE_KEY)[EngineOrder['kind']], string>>
>;

/**
 * Handler of the orders to one engine.
 *
 * @example
 * const orders = new OrderHandler('refuse');
 * orders.apply({fence: 2, kind: 'load-model', value: 'm'}); // true
 */
export class OrderHandler {
  /** Applied orders, oldest first. */
  readonly applied: EngineOrder[] = [];
  private highestFence = 0;
  private setting: EngineSetting = {};
  private readonly log = createLogger('engine');

  constructor(private readonly mode: FencingMode) {}

  /** Applies an order; returns false when its fencing token is refused. */
  apply(order: EngineOrder): boolean {
    if (this.mode === 'refuse' && order.fence < this.highestFence) return false;
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.applied.push(order);
    this.setting = {...this.setting, [STATE_KEY[order.kind]]: order.value};
    this.log.info('order_applied', {...order});
    return true;
  }

  /**
   * Describes the applied orders and the setting for `GET /v1/orders`. Mode
   * `ignore` reports no highest fencing token, as it checks no tokens.
   */
  describe(): object {
    return {
      orders: this.applied,
      setting: this.setting,
      ...(this.mode === 'refuse' ? {highestFence: this.highestFence} : {}),
    };
  }

  /** The engine's current setting. */
  get current(): EngineSetting {
    return this.setting;
  }
}
