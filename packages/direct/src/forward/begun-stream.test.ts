import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerNotRun, formatEvents} from '../test/fake-target.js';
import {
  EVENT_COUNT,
  buildStreamConfig,
  openStreamBed,
} from '../test/silent-engine.js';
import type {FleetConfig} from '../types.js';
import type {RetryBounds} from '../retry/shared-retry-budget.js';
import type {TargetScript} from '../test/fake-target.js';
import type {SilentEngine, StreamBed} from '../test/silent-engine.js';

/** Pause of the engine, in ms: longer than the stall timeout. */
const PAUSE_MS = 1600;

/** Objective for the time to first token of a long stream, in ms. */
const LONG_OBJECTIVE_MS = 4000;

/** Time after which a short stream is not admitted to a queue, in ms. */
const KV_WAIT_LIMIT_MS = 400;

/** What happens while the engine of a begun stream pauses. */
interface Disturbance {
  readonly config?: FleetConfig;
  readonly retryBounds?: RetryBounds;
  /** Happens after the first events and before the stall timeout. */
  readonly run?: (bed: StreamBed, busy: SilentEngine) => unknown;
}

function addBackup(script?: TargetScript): Disturbance['run'] {
  return bed => bed.addEngine('idle', script);
}

function publishConfig(
  change: (config: FleetConfig) => FleetConfig,
): Disturbance['run'] {
  return async bed => {
    await bed.addEngine('idle', answerNotRun);
    bed.harness.store.publishConfig(change(buildStreamConfig(2)));
    await bed.clock.advanceUntil(() => bed.countLines('config_applied') > 1);
  };
}

/** Publishes another entry of the paused engine. */
function publishEntry(change: {
  readonly id?: string;
  readonly name?: string;
  readonly bornAt?: number;
  readonly isDraining?: boolean;
}): Disturbance['run'] {
  return async bed => {
    const entry = bed.targets.get('busy')?.entry;
    if (entry === undefined) throw new Error('no engine');
    bed.harness.store.publishTarget({...entry, ...change});
    await bed.clock.advance(200);
  };
}

const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
  'no other engine exists': {},
  'the backup engine refuses': {run: addBackup(answerNotRun)},
  'the backup engine is silent too': {run: addBackup()},
  'the backup engine reports a full helper': {
    run: addBackup((req, res) => {
      res.setHeader('x-test-fault', '127.0.0.1:1');
      answerNotRun(req, res);
    }),
  },
  'the backup engine fails': {
    run: addBackup((_, res) => res.writeHead(500).end()),
  },
  'the backup engine resets the connection': {
    run: addBackup(req => req.socket.resetAndDestroy()),
  },
  'all other engines refuse connections': {
    run: async bed => {
      for (const id of ['e1', 'e2', 'e3', 'e4']) {
        await bed.addEngine(id);
        bed.targets.get(id)?.close();
      }
    },
  },
  'the retry budget is spent': {
    retryBounds: {ratio: 0, slack: 0, windowMs: 10_000},
    run: addBackup(),
  },
  'the attempts are spent': {
    config: buildStreamConfig(1, 1),
    run: addBackup(),
  },
  'all other slots are taken': {
    config: buildStreamConfig(1, 2, 1),
    run: async bed => {
      const idle = await bed.addEngine('idle');
      bed.call('/long/6000');
      await bed.clock.advanceUntil(() => idle.streams.length === 1);
    },
  },
  'no other engine has free KV cache': {
    run: async bed => {
      const idle = await bed.addEngine('idle');
      bed.call('/long/258000');
      await bed.clock.advanceUntil(() => idle.streams.length === 1);
    },
  },
  'the engine drains': {run: publishEntry({isDraining: true})},
  'the engine is removed from the store': {
    run: async bed => {
      bed.harness.store.dropTarget('busy');
      await bed.clock.advanceUntil(() => bed.countLines('target_removed') > 0);
    },
  },
  'an earlier server of the same address is restored': {
    run: publishEntry({id: 'old', name: 'old', bornAt: 1000}),
  },
  'the route is removed': {
    run: publishConfig(config => ({
      ...config,
      routes: config.routes.slice(0, 3),
    })),
  },
  'the route goes to another service': {
    run: publishConfig(config => ({
      ...config,
      routes: config.routes.map(route => ({
        ...route,
        splits: [{service: 'orders', weight: 1}],
      })),
    })),
  },
  'the service is removed': {
    run: publishConfig(config => ({
      ...config,
      services: config.services.slice(0, 1),
    })),
  },
  'the service has no engines any more': {
    run: publishConfig(config => ({
      ...config,
      services: config.services.map(({name}) => ({name, engine: undefined})),
    })),
  },
  'the key is withdrawn': {
    run: publishConfig(config => ({...config, accounts: []})),
  },
  'the idle timeout becomes shorter than the pause': {
    run: publishConfig(config => ({
      ...config,
      limits: {...config.limits, idleTimeoutMs: 200, headerTimeoutMs: 200},
    })),
  },
  'the store is down': {
    run: bed => {
      bed.harness.store.isDown = true;
      bed.harness.store.dropHistory();
    },
  },
  'the gate drains': {run: bed => void bed.harness.gate.drain()},
  'the settings are reloaded': {
    run: bed => bed.harness.gate.reload({seedHosts: []}),
  },
};

async function openBegunStream({
  config,
  retryBounds,
}: Disturbance): Promise<{bed: StreamBed; busy: SilentEngine}> {
  const bed = await openStreamBed({config, retryBounds});
  const busy = await bed.addEngine('busy');
  await publishEntry({bornAt: 2000})?.(bed, busy);
  await bed.beginStreams(busy, 1);
  return {bed, busy};
}

describe('begun stream whose engine pauses and goes on', () => {
  for (const [name, disturbance] of Object.entries(DISTURBANCES))
    it(`is whole if ${name}`, async () => {
      // Guards against a gate that ends a stream although its engine goes on.
      const {bed, busy} = await openBegunStream(disturbance);
      try {
        const pauseEndsAt = bed.clock.now + PAUSE_MS;
        await disturbance.run?.(bed, busy);
        await bed.clock.advance(pauseEndsAt - bed.clock.now);
        busy.stream(EVENT_COUNT);
        await bed.clock.advance(200);
        expect(bed.callers[0].end).toEqual('whole');
        expect(bed.callers[0].isWhole).toEqual(true);
      } finally {
        bed.close();
      }
    });

  it('is whole if it pauses twice and the first backup engine refused', async () => {
    // Guards against a second pause that ends a stream without attempts left.
    const {bed, busy} = await openBegunStream({});
    try {
      await bed.addEngine('idle', answerNotRun);
      for (const last of [3, EVENT_COUNT]) {
        await bed.clock.advance(PAUSE_MS);
        busy.stream(last);
        await bed.clock.advance(50);
      }
      expect(bed.callers[0].end).toEqual('whole');
    } finally {
      bed.close();
    }
  });
});

describe('begun stream whose engine dies', () => {
  it('is resumed as soon as the other engine has free KV cache', async () => {
    // Guards against a stream that is cut because no KV cache is free at the
    // moment in which its engine dies.
    const bed = await openStreamBed();
    try {
      const dying = await bed.addEngine('busy');
      await bed.beginStreams(dying, 1);
      await bed.clock.advance(KV_WAIT_LIMIT_MS);
      dying.stream(3);
      await publishEntry({isDraining: true})?.(bed, dying);
      const other = await bed.addEngine('other');
      bed.call('/long/258000');
      await bed.clock.advanceUntil(() => other.streams.length === 1);
      dying.close();
      await bed.clock.advance(500);
      expect(other.streams.length).toEqual(1);
      other.stream(EVENT_COUNT);
      await bed.clock.advanceUntil(() => other.streams.length === 2);
      other.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect(bed.callers.every(({isWhole}) => isWhole)).toEqual(true);
    } finally {
      bed.close();
    }
  });
});

describe('begun long stream whose engine dies', () => {
  it('is resumed as soon as that breaks no streams of the other engine', async () => {
    // Guards against a stream that is given up because its objective has passed
    // while the only other engine decodes short streams.
    const bed = await openStreamBed();
    try {
      const dying = await bed.addEngine('busy');
      const long = bed.call('/long/150000');
      await bed.clock.advanceUntil(() => dying.streams.length === 1);
      dying.stream(1);
      await bed.clock.advance(LONG_OBJECTIVE_MS);
      dying.stream(2);
      await bed.clock.waitUntil(() => long.body === formatEvents(1, 2));
      await publishEntry({isDraining: true})?.(bed, dying);
      const other = await bed.addEngine('other');
      await bed.beginStreams(other, 4);
      dying.close();
      await bed.clock.advance(300);
      expect(other.streams.length).toEqual(4);
      other.stream(EVENT_COUNT);
      await bed.clock.advanceUntil(() => other.streams.length === 5);
      other.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect(bed.callers.every(({isWhole}) => isWhole)).toEqual(true);
    } finally {
      bed.close();
    }
  });
});

describe('stream whose backup engine refuses', () => {
  it('is whole if its engine begins while its report is awaited', async () => {
    // Guards against a stream that is given up for a lost report although its
    // engine has sent the head of the response.
    const bed = await openStreamBed();
    try {
      const busy = await bed.addEngine('busy');
      let sendHead = () => undefined as void;
      const target = bed.targets.get('busy');
      if (target !== undefined)
        target.script = (req, res) => {
          sendHead = () => {
            busy.script(req, res);
            res.flushHeaders();
          };
        };
      let loseReport = () => undefined as void;
      const lostReport = new Promise<undefined>(
        resolve => (loseReport = () => resolve(undefined)),
      );
      let polls = 0;
      bed.harness.reports.read = () => {
        polls++;
        return lostReport;
      };
      const caller = bed.call();
      await bed.clock.advanceUntil(() => target?.received.length === 1);
      await bed.addEngine('idle', answerNotRun);
      polls = 0;
      await bed.clock.advanceUntil(() => bed.countLines('attempt_failed') > 0);
      await bed.clock.waitUntil(() => polls > 0);
      sendHead();
      await bed.clock.advance(50);
      loseReport();
      await bed.clock.advance(50);
      busy.stream(EVENT_COUNT);
      await bed.clock.advance(200);
      expect(caller.end).toEqual('whole');
    } finally {
      bed.close();
    }
  });
});
