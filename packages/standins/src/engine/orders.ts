/**
 * The engine's side of orders: it loads models and adapters and changes its
 * role. Engines of mode `refuse` keep the highest fencing number and refuse
 * older ones; engines of mode `ignore` carry out whatever arrives last.
 */
import {createLogger} from '@nutmeggauge/core';
import type {FencingMode} from './options.js';

/** An order to the engine, fenced by a number that must not go backwards. */
export interface EngineOrder {
  readonly fence: number;
  readonly kind: 'load-model' | 'load-adapters' | 'set-role';
  readonly value: string;
}

/** Order kinds and the part of the state they set. */
const STATE_KEY = {
  'load-model': 'model',
  'load-adapters': 'adapters',
  'set-role': 'role',
} as const;

/** What the engine is set to now. */
export type EngineSetting = Readonly<
  Partial<Record<(typeof STATE_KEY)[EngineOrder['kind']], string>>
>;

/**
 * Orders of one engine.
 *
 * @example
 * const book = new OrderBook('refuse');
 * book.apply({fence: 2, kind: 'load-model', value: 'm'}); // true
 */
export class OrderBook {
  /** Orders carried out, in order. */
  readonly applied: EngineOrder[] = [];
  private highestFence = 0;
  private setting: EngineSetting = {};
  private readonly log = createLogger('engine');

  constructor(private readonly mode: FencingMode) {}

  /** Carries out an order; false when its fencing number is refused. */
  apply(order: EngineOrder): boolean {
    if (this.mode === 'refuse' && order.fence < this.highestFence) return false;
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.applied.push(order);
    this.setting = {...this.setting, [STATE_KEY[order.kind]]: order.value};
    this.log.info('order_applied', {...order});
    return true;
  }

  /** What `GET /v1/orders` answers; an ignoring engine knows no fences. */
  describe(): object {
    return {
      orders: this.applied,
      setting: this.setting,
      ...(this.mode === 'refuse' ? {highestFence: this.highestFence} : {}),
    };
  }

  /** What the engine is set to now. */
  get current(): EngineSetting {
    return this.setting;
  }
}
