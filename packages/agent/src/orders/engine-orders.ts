/**
 * Orders to the local engine: brings its model, adapters and role to what
 * the configuration record wants, and keeps them there.
 *
 * Every order carries the record's version as its fencing number, so an
 * engine that checks refuses one from an agent that was paused and still
 * believes an older record. An engine that does not check is protected here:
 * just before an order the agent asks the configuration service whether its
 * record is the newest, and sends nothing when it cannot tell. What slips
 * through (a pause between the question and the order) is put right by the
 * next round of whichever agent holds the newest record.
 */
import {createLogger} from '@nutmeggauge/core';
import {request} from 'undici';
import type {ConfigRecord, Counters, EngineState} from '@nutmeggauge/core';

/** What orders need of the configuration watcher. */
export interface RecordSource {
  readonly current: ConfigRecord | undefined;
  confirmNewest(): Promise<boolean>;
}

/** Options of engine orders. */
export interface EngineOrdersOptions {
  readonly engineUrl: string;
  /** Id of the engine's target in the configuration record. */
  readonly targetId: string;
  readonly source: RecordSource;
  readonly counters: Counters;
  /**
   * Period of rounds, in ms; a newly accepted record starts one at once.
   * @default 2000
   */
  readonly roundMs?: number;
}

/** One order as the engine takes it. */
interface Order {
  readonly kind: 'load-model' | 'load-adapters' | 'set-role';
  readonly value: string;
}

type Setting = Readonly<Record<string, string | undefined>>;

const REQUEST_TIMEOUT_MS = 2000;

/** Lists the orders that bring `setting` to `desired`. */
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
 * A task that owns the orders to one engine.
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
      () => void this.runRound(),
      this.options.roundMs ?? 2000,
    );
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Compares the engine with the record and orders what differs. */
  async runRound(): Promise<void> {
    if (this.busy || this.findDesired() === undefined) return;
    this.busy = true;
    try {
      await this.sendDifferences();
    } catch {
      // The engine is down or slow; the next round tries again.
      this.options.counters.add('orders.round_failed');
    } finally {
      this.busy = false;
    }
  }

  private findDesired(): EngineState | undefined {
    return this.options.source.current?.pools
      .flatMap(pool => pool.targets)
      .find(target => target.id === this.options.targetId)?.desired;
  }

  private async sendDifferences(): Promise<void> {
    const {counters, source} = this.options;
    const state = await this.readEngine();
    if (planOrders(this.findDesired() ?? {}, state.setting).length === 0)
      return;
    if (!(await source.confirmNewest())) {
      counters.add('orders.withheld');
      return;
    }
    // The confirmation may have brought a newer record: plan from that one.
    const fence = source.current?.version ?? 0;
    if ((state.highestFence ?? 0) > fence) {
      counters.add('orders.withheld');
      return;
    }
    const orders = planOrders(this.findDesired() ?? {}, state.setting);
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

  private async readEngine(): Promise<{
    readonly setting: Setting;
    readonly highestFence?: number;
  }> {
    const response = await request(`${this.options.engineUrl}/v1/orders`, {
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    return (await response.body.json()) as {
      setting: Setting;
      highestFence?: number;
    };
  }
}
