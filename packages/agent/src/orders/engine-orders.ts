/**
 * Reconciles the model, adapters and role of the local engine with the
 * configuration record by sending orders to the engine.
 *
 * Every order carries the record's version as its fencing token, so an engine
 * that checks fencing tokens refuses an order from an agent that was paused and
 * still holds an older record. For an engine that does not check, the agent
 * asks the configuration service just before an order whether its record is the
 * newest, and sends nothing without a confirmation. An agent that is paused
 * between the confirmation and the order can still send an old order; the next
 * reconciliation by an agent with the newest record corrects it.
 */
import {createLogger, readBoundedText} from '@nutmeggauge/core';
import {request} from 'undici';
import type {ConfigRecord, Counters, EngineState} from '@nutmeggauge/core';

/** Part of the configuration watcher that engine orders use. */
export interface RecordSource {
  readonly current: ConfigRecord | undefined;
  confirmNewest(): Promise<boolean>;
}

/** Options for the reconciliation of one engine. */
export interface EngineOrdersOptions {
  readonly engineUrl: string;
  /** Id of the engine's target in the configuration record. */
  readonly targetId: string;
  readonly source: RecordSource;
  readonly counters: Counters;
  /**
   * Interval between reconciliations, in ms; a newly accepted record starts
   * one at once.
   * @default 2000
   */
  readonly reconcileMs?: number;
}

/** One order in the form that the engine accepts. */
interface Order {
  readonly kind: 'load-model' | 'load-adapters' | 'set-role';
  readonly value: string;
}

type Setting = Readonly<Record<string, string | undefined>>;

const REQUEST_TIMEOUT_MS = 2000;

/** Largest state of an engine, in bytes. */
const MAX_STATE_BYTES = 1024 * 1024;

/** Lists the orders that change the engine's `setting` to `desired`. */
function planOrders(desired: EngineState, setting: Setting): readonly Order[] {
  const wanted = [
    ['load-model', 'model', desired.model],
    ['load-adapters', 'adapters', desired.adapters?.join(',')],
    ['set-role', 'role', desired.role],
  ] as const;
  return wanted.flatMap(([kind, field, value]) =>
    value === undefined || setting[field] === value ? [] : [{kind, value}],
  );
}

/**
 * Reconciliation loop that sends the orders to one engine.
 *
 * @example
 * const orders = new EngineOrders({engineUrl, targetId: 'engine-1', source: watcher, counters});
 * orders.start();
 */
export class EngineOrders {
  private timer: NodeJS.Timeout | undefined;
  private busy = false;
  private readonly log = createLogger('orders');

  constructor(private readonly options: EngineOrdersOptions) {}

  start(): void {
    this.timer = setInterval(
      () => void this.runReconciliation(),
      this.options.reconcileMs ?? 2000,
    );
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Compares the engine's setting with the record and sends an order for each
   * difference. Does nothing while another reconciliation runs.
   */
  async runReconciliation(): Promise<void> {
    if (this.busy || this.findDesiredState() === undefined) return;
    this.busy = true;
    try {
      await this.sendDifferences();
    } catch {
      // The engine is down or slow; the next reconciliation tries again.
      this.options.counters.add('orders.round_failed');
    } finally {
      this.busy = false;
    }
  }

  private findDesiredState(): EngineState | undefined {
    return this.options.source.current?.pools
      .flatMap(pool => pool.targets)
      .find(target => target.id === this.options.targetId)?.desired;
  }

  private async sendDifferences(): Promise<void> {
    const {counters, source} = this.options;
    const state = await this.readEngineState();
    if (planOrders(this.findDesiredState() ?? {}, state.setting).length === 0)
      return;
    if (!(await source.confirmNewest())) {
      counters.add('orders.withheld');
      return;
    }
    // The confirmation may have fetched a newer record, so plan again from it.
    const fence = source.current?.version ?? 0;
    if ((state.highestFence ?? 0) > fence) {
      counters.add('orders.withheld');
      return;
    }
    const orders = planOrders(this.findDesiredState() ?? {}, state.setting);
    for (const order of orders) await this.send({...order, fence});
  }

  private async send(order: Order & {readonly fence: number}): Promise<void> {
    const response = await request(`${this.options.engineUrl}/v1/orders`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(order),
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    await response.body.dump();
    const accepted = response.statusCode === 200;
    this.options.counters.add(accepted ? 'orders.accepted' : 'orders.refused');
    this.log.info('order_sent', {...order, status: response.statusCode});
  }

  private async readEngineState(): Promise<{
    readonly setting: Setting;
    readonly highestFence?: number;
  }> {
    const response = await request(`${this.options.engineUrl}/v1/orders`, {
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const text = await readBoundedText(response.body, MAX_STATE_BYTES);
    return JSON.parse(text) as {
      setting: Setting;
      highestFence?: number;
    };
  }
}
