import {describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  answerCompletely,
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import {PromptPlacer} from '../placement/prompt-placer.js';
import {OpenExchanges} from './open-exchanges.js';
import type {FleetConfig} from '../types.js';
import type {FakeTarget, TargetScript} from '../test/fake-target.js';
import type {GateHarness, ReceivedResponse} from '../test/gate-harness.js';

/** Zones with one target of each service; the gate is in the first one. */
const ZONES = ['az-1', 'az-2'];

const PATHS = ['/safe/', '/unsafe/', '/unsafe2/', '/stream/'];

/** Number of calls that show where a gate sends them. */
const CALL_COUNT = 8;

/** Tokens of a prompt that no engine can hold alone. */
const LONG_TOKENS = 330_000;

/** Time that a long prompt may take, in ms. */
const LONG_TIMEOUT_MS = 30_000;

/** Time after which a stalled stream gets a backup, with a margin, in ms. */
const STALL_MS = 1800;

const streamWhole: TargetScript = (req, res) => {
  const after = Number(req.headers['x-test-after'] ?? 0);
  res.writeHead(200, buildSignedHead(req));
  res.end(formatEvents(after + 1, 6));
};

/** Answers a stream or a call completely. */
const answerAny: TargetScript = (req, res) =>
  req.url?.startsWith('/stream/')
    ? streamWhole(req, res)
    : answerCompletely(req, res);

/** A gate whose targets each have a zone. */
class Bed {
  readonly targets: FakeTarget[] = [];

  constructor(readonly harness: GateHarness) {}

  /** Adds a target of each service in each zone. */
  async addTargets(
    zones: readonly string[],
    services: readonly string[],
    script: TargetScript,
  ): Promise<void> {
    const {harness} = this;
    for (const zone of zones)
      for (const service of services)
        this.targets.push(
          await harness.addTarget(`${service}-${zone}`, service, script, zone),
        );
    await harness.waitUntil(
      () => this.state.targetCount === this.targets.length,
    );
  }

  get state() {
    return this.harness.gate['state'];
  }

  /** Evacuates a zone at once, as if the store had just told the gate. */
  applyEvacuation(zone: string): void {
    const position = {...this.state.position};
    position.revision++;
    this.state.applyChange({kind: 'zone-evacuated', zone, position});
  }

  /** Writes or deletes an evacuation and waits until the gate knows it. */
  async publish(zone: string, isEvacuated: boolean): Promise<void> {
    const {harness, state} = this;
    if (isEvacuated) harness.store.publishEvacuation(zone);
    else harness.store.dropEvacuation(zone);
    await harness.waitUntil(() => state.isEvacuated(zone) === isEvacuated);
  }

  countReceived(zone: string): number {
    return this.targets
      .filter(({id}) => id.endsWith(zone))
      .reduce((sum, {received}) => sum + received.length, 0);
  }

  /** Counts sends that were withheld because of an evacuation. */
  countWithheld(): number {
    return this.harness.lines.filter(
      line =>
        line.includes('"send_withheld"') && line.includes('"zone_evacuated"'),
    ).length;
  }

  callOften(path: string): Promise<readonly ReceivedResponse[]> {
    return Promise.all(
      Array.from({length: CALL_COUNT}, (_, i) =>
        this.harness.call(`${path}q${i}`, {id: `q${i}`, tokens: 1000}),
      ),
    );
  }
}

async function runBed(
  test: (bed: Bed) => Promise<void>,
  config?: FleetConfig,
): Promise<void> {
  const harness = await openGateHarness({config});
  try {
    await test(new Bed(harness));
  } finally {
    mock.restoreAll();
    harness.close();
  }
}

/** Returns the other one of the two zones. */
function pickOther(zone: string): string {
  return ZONES.find(other => other !== zone) ?? '';
}

/** Reads the zone from the id of a target that received a request. */
function readZone(target: unknown): string {
  return String(target).split('-').slice(1).join('-');
}

function buildLongConfig(): FleetConfig {
  const base = buildConfig(1);
  const routes = base.routes.map(route => ({
    ...route,
    timeoutMs: LONG_TIMEOUT_MS,
  }));
  return {...base, routes};
}

describe('evacuated zone', () => {
  for (const path of PATHS)
    it(`gets no request to ${path} until the evacuation is taken back`, () =>
      // Guards against first sends to a zone that the operator has evacuated.
      runBed(async bed => {
        await bed.addTargets(ZONES, ['orders', 'chat'], answerAny);
        await bed.publish('az-1', true);
        const answers = await bed.callOften(path);
        expect(answers.map(({status}) => status)).toEqual(
          answers.map(() => 200),
        );
        expect(bed.countReceived('az-1')).toEqual(0);
        expect(await bed.harness.readGauge('evacuated_zones')).toEqual(1);
        await bed.publish('az-1', false);
        await bed.publish('az-2', true);
        await bed.callOften(path);
        expect(bed.countReceived('az-1')).toEqual(CALL_COUNT);
      }));

  for (const path of PATHS)
    it(`gets no request to ${path} that was chosen before the evacuation`, () =>
      // Guards against a request whose target is not looked at again when the
      // connection is open.
      runBed(async bed => {
        await bed.addTargets(ZONES, ['orders', 'chat'], answerAny);
        const open = OpenExchanges.prototype.open;
        const evacuated: string[] = [];
        mock.method(
          OpenExchanges.prototype,
          'open',
          function (this: OpenExchanges, ...args: Parameters<typeof open>) {
            const exchange = open.apply(this, args);
            const {zone} = args[0].target;
            if (evacuated.length === 0) bed.applyEvacuation(zone);
            evacuated.push(zone);
            return exchange;
          },
        );
        const answer = await bed.harness.call(`${path}x`, {tokens: 1000});
        expect(answer.status).toEqual(200);
        expect(bed.countReceived(evacuated[0])).toEqual(0);
        expect(bed.countWithheld()).toEqual(1);
      }));

  it('gets no hedge', () =>
    // Guards against a second send of a slow call into the zone.
    runBed(async bed => {
      await bed.addTargets(ZONES, ['orders'], req =>
        bed.applyEvacuation(pickOther(readZone(req.headers['x-test-target']))),
      );
      const answer = await bed.harness.call('/safe/x', {deadlineMs: 600});
      expect(answer.status).toEqual(504);
      expect(ZONES.map(zone => bed.countReceived(zone)).sort()).toEqual([0, 1]);
    }));

  for (const path of PATHS)
    it(`gets no retry of ${path}`, () =>
      // Guards against a second attempt into the zone.
      runBed(async bed => {
        await bed.addTargets(ZONES, ['orders', 'chat'], (req, res) => {
          bed.applyEvacuation(
            pickOther(readZone(req.headers['x-test-target'])),
          );
          answerNotRun(req, res);
        });
        const answer = await bed.harness.call(`${path}x`, {tokens: 1000});
        expect(answer.status).toEqual(503);
        expect(ZONES.map(zone => bed.countReceived(zone)).sort()).toEqual([
          0, 1,
        ]);
      }));

  for (const [name, end] of [
    ['resume', (res: {destroy(): void}) => res.destroy()],
    ['backup', () => undefined],
  ] as const)
    it(`gets no ${name} of a stream`, () =>
      // Guards against an interrupted stream that goes on in the zone.
      runBed(async bed => {
        await bed.addTargets(ZONES, ['chat'], (req, res) => {
          bed.applyEvacuation(
            pickOther(readZone(req.headers['x-test-target'])),
          );
          res.writeHead(200, buildSignedHead(req));
          res.write(formatEvents(1, 2));
          setTimeout(() => end(res), 50);
          setTimeout(() => res.end(formatEvents(3, 6)), STALL_MS);
        });
        await bed.harness.call('/stream/x', {tokens: 1000});
        expect(ZONES.map(zone => bed.countReceived(zone)).sort()).toEqual([
          0, 1,
        ]);
      }));

  it('ends its running streams, whose reservations are renewed', () =>
    // Guards against an evacuation that breaks off what runs in the zone.
    runBed(async bed => {
      const zones = ['az-1', 'az-2', 'az-3'];
      await bed.addTargets(zones, ['chat'], (req, res) => {
        res.writeHead(200, buildSignedHead(req));
        for (const zone of zones) bed.applyEvacuation(zone);
        const timer = setInterval(() => res.write(formatEvents(1, 1)), 100);
        setTimeout(() => {
          clearInterval(timer);
          res.end(formatEvents(2, 6));
        }, 1500);
      });
      const {reservations} = bed.harness;
      const answer = await bed.harness.call('/stream/x', {
        tokens: LONG_TOKENS,
        deadlineMs: LONG_TIMEOUT_MS,
      });
      expect([answer.status, answer.isWhole]).toEqual([200, true]);
      const helpers = new Set(reservations.reservedOn);
      expect(reservations.reservedOn.length > helpers.size).toEqual(true);
    }, buildLongConfig()));

  it('gets no reservation and no helper of a prompt that was placed before', () =>
    // Guards against helpers that are ordered although their zone was evacuated
    // after the choice.
    runBed(async bed => {
      const zones = ['az-1', 'az-2', 'az-3', 'az-4'];
      await bed.addTargets(zones, ['chat'], streamWhole);
      const place = PromptPlacer.prototype.place;
      let evacuated: string | undefined;
      mock.method(
        PromptPlacer.prototype,
        'place',
        function (this: PromptPlacer, ...args: Parameters<typeof place>) {
          const placed = place.apply(this, args);
          if (typeof placed !== 'object' || !('helpers' in placed))
            return placed;
          evacuated ??= placed.helpers[0]?.zone;
          if (bed.state.evacuatedCount === 0) bed.applyEvacuation(evacuated);
          return placed;
        },
      );
      const answer = await bed.harness.call('/stream/x', {
        tokens: LONG_TOKENS,
        deadlineMs: LONG_TIMEOUT_MS,
      });
      expect([answer.status, answer.isWhole]).toEqual([200, true]);
      const {reservedOn} = bed.harness.reservations;
      expect(reservedOn.length > 0).toEqual(true);
      expect(reservedOn.map(readZone)).not.toInclude(String(evacuated));
      expect(bed.countWithheld()).toEqual(1);
    }, buildLongConfig()));

  it('gets no helper whose reservation was made before the evacuation', () =>
    // Guards against a prompt that is sent with a helper in the zone; its
    // decoding engine stays in use.
    runBed(async bed => {
      const zones = ['az-1', 'az-2', 'az-3'];
      await bed.addTargets(zones, ['chat'], streamWhole);
      const {reservations} = bed.harness;
      const reserve = reservations.reserve.bind(reservations);
      mock.method(
        reservations,
        'reserve',
        (...args: Parameters<typeof reserve>) => {
          if (bed.state.evacuatedCount === 0)
            bed.applyEvacuation(readZone(args[0].id));
          return reserve(...args);
        },
      );
      const answer = await bed.harness.call('/stream/x', {
        tokens: LONG_TOKENS,
        deadlineMs: LONG_TIMEOUT_MS,
      });
      expect([answer.status, answer.isWhole]).toEqual([200, true]);
      expect(bed.countWithheld()).toEqual(1);
      const [evacuated] = reservations.reservedOn.map(readZone);
      expect(bed.countReceived(evacuated)).toEqual(0);
      await bed.harness.waitUntil(() => reservations.held.size === 0);
    }, buildLongConfig()));

  for (const path of PATHS)
    it(`leaves requests to ${path} refused at once if no zone is left`, () =>
      // Guards against requests that wait for a zone until their deadline.
      runBed(async bed => {
        await bed.addTargets(ZONES, ['orders', 'chat'], answerAny);
        for (const zone of ZONES) await bed.publish(zone, true);
        const answer = await bed.harness.call(`${path}x`, {tokens: 1000});
        expect([answer.status, answer.body]).toEqual([
          503,
          '{"error":{"reason":"no_target"}}',
        ]);
        expect(Number(answer.retryAfter) > 0).toEqual(true);
        expect(answer.ms < 1000).toEqual(true);
      }));

  it('leaves streams refused that wait for a slot when no zone is left', () => {
    // Guards against a queue that waits for engines which accept nothing.
    const base = buildLongConfig();
    const routes = base.routes.map(route => ({...route, objectiveMs: 20_000}));
    const services = [{name: 'chat', engine: {...ENGINE, slots: 1}}];
    return runBed(
      async bed => {
        await bed.addTargets(['az-1'], ['chat'], (req, res) => {
          res.writeHead(200, buildSignedHead(req));
          res.write(formatEvents(1, 1));
        });
        const running = bed.harness.call('/stream/x', {
          tokens: 1000,
          disconnectAfterMs: 1500,
        });
        await bed.harness.waitUntil(() => bed.countReceived('az-1') === 1);
        const waiting = bed.harness.call('/stream/y', {id: 'q2', tokens: 1000});
        await sleep(300);
        bed.applyEvacuation('az-1');
        const answer = await waiting;
        expect([answer.status, answer.body]).toEqual([
          503,
          '{"error":{"reason":"no_target"}}',
        ]);
        expect(answer.ms < 1000).toEqual(true);
        await running;
      },
      {...base, routes, services},
    );
  });
});
