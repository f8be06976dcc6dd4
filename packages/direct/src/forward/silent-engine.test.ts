import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerNotRun} from '../test/fake-target.js';
import {
  EVENT_COUNT,
  SilentEngine,
  buildStreamConfig,
  openStreamBed,
} from '../test/silent-engine.js';
import type {TargetScript} from '../test/fake-target.js';
import type {StreamBed} from '../test/silent-engine.js';

/** Number of short streams that the silent engine decodes. */
const STREAM_COUNT = 8;

/** Shard whose iteration callers outlast, in ms. */
const LONG_SHARD_MS = 1500;

/** Ways in which a backup engine gives no answer. */
const REFUSALS: Readonly<Record<string, TargetScript>> = {
  refuses: answerNotRun,
  'resets the connection': req => req.socket.resetAndDestroy(),
};

/** Shard whose iteration callers do not outlast, in ms. */
const TOO_LONG_SHARD_MS = 2400;

/**
 * Opens a gate with an engine that decodes short streams while it prefills a
 * shard that another gate has placed on it, and with another engine that is
 * idle.
 */
async function openBesidePeerShard(
  bed: StreamBed,
  prefillMs: number,
): Promise<{readonly busy: SilentEngine; readonly idle: SilentEngine}> {
  const busy = await bed.addEngine('busy');
  await bed.beginStreams(busy, STREAM_COUNT);
  bed.addPeerShard('busy', prefillMs);
  const idle = await bed.addEngine('idle');
  return {busy, idle};
}

describe('engine in a long iteration', () => {
  it('is not taken for stalled before the predicted end of the iteration', async () => {
    // Guards against a second prefill of every stream of a healthy engine.
    const bed = await openStreamBed();
    try {
      const {busy} = await openBesidePeerShard(bed, LONG_SHARD_MS);
      await bed.clock.advance(1200);
      const backups = bed.countLines('engine_silent');
      const isSuspended = bed.harness.gate['health'].isSuspended(
        'busy',
        bed.clock.now,
      );
      await bed.clock.advance(300);
      busy.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect({backups, isSuspended}).toEqual({backups: 0, isSuspended: false});
      expect(bed.callers.every(({isWhole}) => isWhole)).toEqual(true);
    } finally {
      bed.close();
    }
  });

  it('is not taken for stalled if its entry is removed meanwhile', async () => {
    // Guards against a second prefill of every stream of an engine that leaves.
    const bed = await openStreamBed();
    try {
      const {busy} = await openBesidePeerShard(bed, LONG_SHARD_MS);
      bed.harness.store.dropTarget('busy');
      await bed.clock.advanceUntil(
        () => bed.countLines('target_removed', 'busy') > 0,
      );
      await bed.clock.advance(1000);
      expect(bed.countLines('engine_silent')).toEqual(0);
      await bed.clock.advance(500);
      busy.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect(bed.callers.every(({isWhole}) => isWhole)).toEqual(true);
    } finally {
      bed.close();
    }
  });

  it('that callers do not outlast is replaced before they leave', async () => {
    // Guards against waiting for a healthy engine until its callers are gone.
    const bed = await openStreamBed();
    try {
      const {busy, idle} = await openBesidePeerShard(bed, TOO_LONG_SHARD_MS);
      await bed.clock.advance(1700);
      idle.stream(EVENT_COUNT);
      await bed.clock.advance(800);
      busy.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect(bed.callers.map(({end}) => end)).toEqual(
        bed.callers.map(() => 'whole'),
      );
    } finally {
      bed.close();
    }
  });

  it('is replaced before its callers leave if it has died', async () => {
    // Guards against a predicted long iteration that hides a dead engine.
    const bed = await openStreamBed();
    try {
      const {idle} = await openBesidePeerShard(bed, LONG_SHARD_MS);
      const short = bed.callers.slice(0, STREAM_COUNT);
      for (let ms = 0; ms < 2000; ms += 100) {
        await bed.clock.advance(100);
        // The idle engine answers 200 ms after a stream has reached it.
        if (ms % 200 === 0) idle.stream(EVENT_COUNT);
      }
      expect(short.map(({end}) => end)).toEqual(short.map(() => 'whole'));
    } finally {
      bed.close();
    }
  });

  it('leaves its streams an attempt for the time when it dies', async () => {
    // Guards against a stream that cannot be resumed because a backup was
    // started in a long iteration before.
    const bed = await openStreamBed();
    try {
      const {busy, idle} = await openBesidePeerShard(bed, LONG_SHARD_MS);
      const [caller] = bed.callers;
      await bed.clock.advance(1300);
      busy.stream(3);
      await bed.clock.waitUntil(() => caller.body.includes('piece-3'));
      busy.close();
      for (let ms = 0; ms < 1500; ms += 100) {
        await bed.clock.advance(100);
        idle.stream(EVENT_COUNT);
      }
      expect(caller.end).toEqual('whole');
    } finally {
      bed.close();
    }
  });
});

/** Shards that together take an engine longer than callers wait, in ms. */
const WAITING_SHARDS_MS = [1187, 879];

/** Time from the last event of a stream to the end of a long iteration, in ms. */
const ITERATION_MS = 1680;

/**
 * Opens a gate with one stream whose engine is in a long iteration, and with a
 * backup attempt at an idle engine.
 */
async function openBesideBackup(bed: StreamBed): Promise<{
  readonly busy: SilentEngine;
  readonly idle: SilentEngine;
  /** Time of the last event that the caller has. */
  readonly silentSince: number;
}> {
  const busy = await bed.addEngine('busy');
  const idle = await bed.addEngine('idle', answerNotRun);
  // Two idle engines cost the same, and either may be chosen.
  const otherShard = bed.addPeerShard('idle', LONG_SHARD_MS);
  await bed.beginStreams(busy, 1);
  bed.removePeerShard(otherShard);
  const silentSince = bed.clock.now;
  const target = bed.targets.get('idle');
  if (target !== undefined) target.script = idle.script;
  bed.addPeerShard('busy', 1624);
  await bed.clock.advanceUntil(() => idle.streams.length === 1);
  return {busy, idle, silentSince};
}

describe('engine that sends one event between two long iterations', () => {
  /** Lets the engine send one event although more shards wait there. */
  async function sendOneEvent(bed: StreamBed) {
    const {busy, idle, silentSince} = await openBesideBackup(bed);
    for (const ms of WAITING_SHARDS_MS) bed.addPeerShard('busy', ms);
    await bed.clock.advance(silentSince + ITERATION_MS - bed.clock.now);
    busy.stream(3);
    await bed.clock.advance(50);
    return {busy, idle, silentSince, caller: bed.callers[0]};
  }

  /** Checks that the engine can end the stream after its long iteration. */
  async function checkGoesOn(bed: StreamBed, busy: SilentEngine) {
    await bed.clock.waitUntil(() => bed.callers[0].body.includes('piece-3'));
    await bed.clock.advance(1900);
    busy.stream(EVENT_COUNT);
    await bed.waitForEnds();
    expect(bed.callers[0].isWhole).toEqual(true);
  }

  it('leaves the stream to a backup engine that goes on', async () => {
    // Guards against a backup that is given up for a single event.
    const bed = await openStreamBed();
    try {
      const {busy, idle, caller} = await sendOneEvent(bed);
      idle.stream(EVENT_COUNT);
      await bed.clock.advance(2100);
      busy.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect({end: caller.end, isWhole: caller.isWhole}).toEqual({
        end: 'whole',
        isWhole: true,
      });
    } finally {
      bed.close();
    }
  });

  it('keeps the stream if the backup engine sends nothing before the caller leaves', async () => {
    // Guards against an event that is held until the caller has left.
    const bed = await openStreamBed();
    try {
      const {busy, silentSince} = await sendOneEvent(bed);
      await bed.clock.advance(silentSince + 1960 - bed.clock.now);
      await checkGoesOn(bed, busy);
    } finally {
      bed.close();
    }
  });

  it('keeps the stream if the backup engine breaks off', async () => {
    // Guards against an event that waits for an attempt that has failed.
    const bed = await openStreamBed();
    try {
      const {busy, idle} = await sendOneEvent(bed);
      idle.close();
      await checkGoesOn(bed, busy);
    } finally {
      bed.close();
    }
  });

  it('keeps the stream if it sends another event', async () => {
    // Guards against a wrong prediction that delays an engine that goes on.
    const bed = await openStreamBed();
    try {
      const {busy, idle, caller} = await sendOneEvent(bed);
      busy.stream(4);
      await bed.clock.waitUntil(() => caller.body.includes('piece-4'));
      await bed.clock.waitUntil(() => idle.listOpen().length === 0);
      busy.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect(caller.isWhole).toEqual(true);
    } finally {
      bed.close();
    }
  });
});

describe('backup engine that sends one event before a long iteration', () => {
  it('leaves the stream to the first engine, whose iteration ends in time', async () => {
    // Guards against a backup that takes the stream and goes silent.
    const bed = await openStreamBed();
    try {
      const {busy, idle, silentSince} = await openBesideBackup(bed);
      const [caller] = bed.callers;
      await bed.clock.advance(100);
      for (const ms of WAITING_SHARDS_MS) bed.addPeerShard('idle', ms);
      await bed.clock.advance(100);
      idle.stream(3);
      await bed.clock.advance(silentSince + ITERATION_MS - bed.clock.now);
      busy.stream(EVENT_COUNT);
      await bed.clock.advance(2100);
      idle.stream(EVENT_COUNT);
      await bed.waitForEnds();
      expect({end: caller.end, isWhole: caller.isWhole}).toEqual({
        end: 'whole',
        isWhole: true,
      });
    } finally {
      bed.close();
    }
  });
});

describe('engine that goes silent for good', () => {
  for (const [name, close] of Object.entries(REFUSALS))
    it(`loses no begun stream if its first backup engine ${name}`, async () => {
      // Guards against a begun stream that waits for a dead engine until its
      // caller leaves although another engine is idle.
      const bed = await openStreamBed({config: buildStreamConfig(1, 4)});
      try {
        const busy = await bed.addEngine('busy');
        await bed.beginStreams(busy, 1);
        let attempts = 0;
        for (const id of ['b1', 'b2']) {
          const engine = new SilentEngine(id);
          await bed.addEngine(id, (req, res) => {
            if (++attempts === 1) return close(req, res);
            engine.script(req, res);
            engine.stream(EVENT_COUNT);
          });
        }
        await bed.clock.advance(2200);
        expect({attempts, end: bed.callers[0].end}).toEqual({
          attempts: 2,
          end: 'whole',
        });
      } finally {
        bed.close();
      }
    });
});

describe('engine that goes silent while the retry budget is spent', () => {
  it('gets no new streams', async () => {
    // Guards against a dead engine that is not noticed because no retry shows it.
    const retryBounds = {ratio: 0, slack: 0, windowMs: 10_000};
    const bed = await openStreamBed({retryBounds});
    try {
      const busy = await bed.addEngine('busy');
      await bed.beginStreams(busy, 4);
      const idle = await bed.addEngine('idle');
      await bed.clock.advance(1300);
      for (let i = 1; i <= 8; i++) {
        bed.call();
        await bed.clock.advanceUntil(
          () => idle.streams.length + busy.streams.length === 4 + i,
        );
      }
      expect(busy.streams.length).toEqual(4);
    } finally {
      bed.close();
    }
  });
});

describe('engine that goes silent without a known reason', () => {
  it('is usable again as soon as it sends events', async () => {
    // Guards against one pause that counts as a failure for each stream and
    // suspends a healthy engine for seconds.
    const bed = await openStreamBed();
    try {
      const busy = await bed.addEngine('busy');
      await bed.beginStreams(busy, STREAM_COUNT);
      await bed.addEngine('idle');
      await bed.clock.advance(1200);
      busy.stream(3);
      await bed.clock.waitUntil(() =>
        bed.callers.every(({body}) => body.includes('piece-3')),
      );
      const isSuspended = bed.harness.gate['health'].isSuspended(
        'busy',
        bed.clock.now,
      );
      expect(isSuspended).toEqual(false);
    } finally {
      bed.close();
    }
  });
});
