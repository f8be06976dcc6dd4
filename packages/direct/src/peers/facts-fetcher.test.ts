import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildPosition} from '../test/build-target.js';
import fc from 'fast-check';
import {FactsBusyError, StoreUnavailableError} from '../errors.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildConfig} from '../test/gate-harness.js';
import {createFactsFetcher} from './facts-fetcher.js';
import type {SharedFacts} from '../fleet/fleet-types.js';

/** Longest time until all gates apply a new configuration, in ms. */
const PROPAGATION_LIMIT_MS = 2000;

/** Delay of the heartbeat that announces a new configuration, in ms. */
const ANNOUNCEMENT_DELAY_MS = 100;

/** Maximum number of peers that one gate serves at the same time. */
const MAX_CONCURRENT_TRANSFERS = 2;

/** Largest number of gates in a simulated fleet. */
const MAX_GATES = 30;

/** Longest time of one transfer over a fast idle link, in ms. */
const MAX_TRANSFER_MS = 60;

/** Creates a seeded generator of uniform numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 48_271) >>> 0) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Virtual clock that resumes waiters in the order of their wake-up times. */
class VirtualClock {
  now = 0;
  private readonly queue: Array<{
    readonly at: number;
    readonly resumeWaiter: () => void;
  }> = [];

  readonly wait = (ms: number) =>
    new Promise<void>(resumeWaiter =>
      this.queue.push({at: this.now + ms, resumeWaiter}),
    );

  async run(isOver: () => boolean): Promise<void> {
    for (;;) {
      // Runs all pending continuations before the clock advances.
      await new Promise(resolve => setImmediate(resolve));
      if (isOver() || this.queue.length === 0) return;
      this.queue.sort((a, b) => a.at - b.at);
      const next = this.queue.shift()!;
      this.now = next.at;
      next.resumeWaiter();
    }
  }
}

function createLog(lines: string[] = []) {
  return createDecisionLog({
    proc: 'g',
    output: new Writable({
      write: (chunk, _encoding, done) => {
        lines.push(String(chunk));
        done();
      },
    }),
    readWallMs: () => 0,
  });
}

/** Creates a fetcher with scripted answers of peers by host. */
function createHarness(
  answers: Readonly<Record<string, () => Promise<SharedFacts>>>,
  random: () => number = () => 0,
  isStoreSilent = false,
) {
  const clock = new VirtualClock();
  const state = createFleetState(() => clock.now);
  const asked: string[] = [];
  const lines: string[] = [];
  const fetcher = createFactsFetcher({
    isStoreSilent: () => isStoreSilent,
    state,
    listUpdateSources: () =>
      (state.config?.version ?? 0) < 7 ? Object.keys(answers) : [],
    fetch: host => {
      asked.push(host);
      return answers[host]();
    },
    log: createLog(lines),
    readNow: () => clock.now,
    random,
    wait: clock.wait,
  });
  return {clock, state, asked, lines, fetcher};
}

const FACTS: SharedFacts = {
  position: buildPosition(3),
  doubts: [],
  config: buildConfig(7),
  targets: [],
  held: [],
};
const sendFacts = () => Promise.resolve(FACTS);
const refuse = () => Promise.reject(new FactsBusyError('busy'));
const dropRequest = () => Promise.reject(new StoreUnavailableError('gone'));

describe('facts fetcher', () => {
  it('asks no peer when the store delivers the facts during the delay', async () => {
    // Guards against needless transfers of facts that the store delivers too.
    const {clock, state, asked, fetcher} = createHarness({a: sendFacts});
    fetcher.schedule();
    state.applyChange({kind: 'config', config: buildConfig(7)});
    await clock.run(() => false);
    expect(asked).toEqual([]);
  });

  it('asks a peer within 200 ms while the store does not answer', async () => {
    // Guards against a gate that learns of a removal too late because it waits
    // for a store that does not answer.
    const harness = createHarness({a: sendFacts}, () => 0.99, true);
    harness.fetcher.schedule();
    await harness.clock.run(() => false);
    expect(harness.asked).toEqual(['a']);
    expect(harness.clock.now).toBeLessThan(200);
  });

  it('picks a random peer among those with newer facts', async () => {
    // Guards against gates that all ask the same peer.
    const asked = new Set<string>();
    for (const randomValue of [0, 0.4, 0.9]) {
      const harness = createHarness(
        {a: sendFacts, b: sendFacts, c: sendFacts},
        () => randomValue,
      );
      harness.fetcher.schedule();
      await harness.clock.run(() => false);
      for (const host of harness.asked) asked.add(host);
    }
    expect([...asked]).toEqual(['a', 'b', 'c']);
  });

  it('retries a peer that answers that it is busy', async () => {
    let refusals = 2;
    const {clock, state, asked, fetcher} = createHarness({
      a: () => (refusals-- > 0 ? refuse() : sendFacts()),
    });
    fetcher.schedule();
    await clock.run(() => false);
    expect(asked).toEqual(['a', 'a', 'a']);
    expect(state.config?.version).toEqual(7);
  });

  it('asks another peer after a request to the first peer has failed', async () => {
    // Guards against giving up because a peer lost power after its last
    // heartbeat.
    const {clock, state, asked, lines, fetcher} = createHarness({
      a: dropRequest,
      b: sendFacts,
    });
    fetcher.schedule();
    await clock.run(() => false);
    expect(asked).toEqual(['a', 'b']);
    expect(state.config?.version).toEqual(7);
    expect(lines.some(line => line.includes('facts_from_peer_failed'))).toEqual(
      true,
    );
  });

  it('stops after a bounded number of busy answers and asks again when scheduled again', async () => {
    const {clock, asked, fetcher} = createHarness({a: refuse});
    fetcher.schedule();
    fetcher.schedule();
    await clock.run(() => false);
    const requestsPerRun = asked.length;
    fetcher.schedule();
    await clock.run(() => false);
    expect(asked.length).toEqual(2 * requestsPerRun);
  });
});

/**
 * Simulates in virtual time a fleet in which one gate has a new configuration.
 */
class PropagationFleet {
  readonly clock = new VirtualClock();
  /** Number of transfers that each gate has sent. */
  readonly transferCounts = new Map<string, number>();
  private readonly configKnownAt = new Map<string, number>([['0', 0]]);
  private readonly activeTransfers = new Map<string, number>();

  /** @param transferMs - Time of one transfer over an idle link, in ms. */
  constructor(
    private readonly count: number,
    private readonly transferMs: number,
    private readonly random: () => number,
  ) {}

  /**
   * Runs until every gate has the configuration; returns the time taken, in ms.
   */
  async run(): Promise<number> {
    for (let i = 1; i < this.count; i++) void this.runGate(String(i));
    await this.clock.run(() => this.configKnownAt.size === this.count);
    return this.clock.now;
  }

  private async runGate(name: string): Promise<void> {
    const {clock, random} = this;
    const state = createFleetState(() => clock.now);
    state.onChange(() => this.configKnownAt.set(name, clock.now));
    const fetcher = createFactsFetcher({
      isStoreSilent: () => false,
      state,
      listUpdateSources: () =>
        state.config === undefined ? this.listAnnouncedGates() : [],
      fetch: host => this.serveTransfer(host),
      log: createLog(),
      readNow: () => clock.now,
      random,
      wait: clock.wait,
    });
    while (state.config === undefined) {
      await clock.wait(ANNOUNCEMENT_DELAY_MS);
      fetcher.schedule();
    }
  }

  private listAnnouncedGates(): readonly string[] {
    return [...this.configKnownAt]
      .filter(([, since]) => this.clock.now >= since + ANNOUNCEMENT_DELAY_MS)
      .map(([host]) => host);
  }

  private async serveTransfer(host: string): Promise<SharedFacts> {
    const busy = this.activeTransfers.get(host) ?? 0;
    if (busy >= MAX_CONCURRENT_TRANSFERS) throw new FactsBusyError('busy');
    this.activeTransfers.set(host, busy + 1);
    this.transferCounts.set(host, (this.transferCounts.get(host) ?? 0) + 1);
    // Concurrent transfers share the link.
    await this.clock.wait(this.transferMs * (busy + 1));
    this.activeTransfers.set(host, (this.activeTransfers.get(host) ?? 0) - 1);
    return FACTS;
  }
}

describe('propagation of a configuration that only one gate has', () => {
  it('reaches every other gate within 2,000 ms with one transfer each', async () => {
    // Guards against gates that cannot reach the store and never receive a
    // large configuration.
    await fc.assert(
      fc.asyncProperty(
        fc.integer({min: 2, max: MAX_GATES}),
        fc.integer({min: 5, max: MAX_TRANSFER_MS}),
        fc.integer({min: 1}),
        async (count, transferMs, seed) => {
          const fleet = new PropagationFleet(
            count,
            transferMs,
            createRandom(seed),
          );
          const tookMs = await fleet.run();
          const transferCounts = [...fleet.transferCounts.values()];
          expect(transferCounts.reduce((sum, n) => sum + n, 0)).toEqual(
            count - 1,
          );
          expect(tookMs).toBeLessThanOrEqual(PROPAGATION_LIMIT_MS);
        },
      ),
      {numRuns: 60, seed: 21},
    );
  });
});
