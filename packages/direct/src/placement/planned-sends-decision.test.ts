import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  LONG_ITERATION_ENGINE,
  TestFleet,
  buildPromptDemand,
} from '../test/fleet-load.js';
import {estimatePrefillMs} from './engine-model.js';
import {PlannedSends} from './planned-sends.js';
import {PromptWait} from './prompt-wait.js';
import {WaitingPrompts} from './waiting-prompts.js';
import type {SendDecision} from './planned-sends.js';
import type {WaitReport} from './waiting-prompts.js';

const MANY_ENGINES = 40;
const TOKENS = 190_000;

class TestSends {
  readonly reports: WaitReport[] = [];
  readonly waiting = new WaitingPrompts(() => this.now);
  now = 0;
  private readonly sends = new PlannedSends({
    waiting: this.waiting,
    announce: report => this.reports.push(report),
    readNow: () => this.now,
  });

  judge(
    fleet: TestFleet,
    wait: PromptWait,
    tokens = TOKENS,
    leftMs = 15_000,
  ): SendDecision {
    return this.sends.judge(
      {
        service: 'chat',
        demand: buildPromptDemand(tokens),
        engine: LONG_ITERATION_ENGINE,
        engines: fleet.engineCount,
        listCandidates: () => fleet.listCandidates(),
        leftMs,
      },
      wait,
    );
  }
}

/** Builds a fleet of which each engine prefills for `ms`. */
function buildBusyFleet(engines: number, ms: number): TestFleet {
  const fleet = new TestFleet(engines);
  for (const id of fleet.ids) fleet.placeShards([id], 100_000, ms);
  return fleet;
}

describe('decision of PlannedSends', () => {
  it('sends to idle engines', () => {
    const decision = new TestSends().judge(
      new TestFleet(MANY_ENGINES),
      new PromptWait('a#1'),
    );
    expect(decision.kind).toEqual('send');
  });

  it('does not apply to small fleets, short prompts and prompts beyond all memory', () => {
    // Guards against a change for deployments of up to 32 engines.
    const sends = new TestSends();
    const wait = new PromptWait('a#1');
    const small = buildBusyFleet(32, 2000);
    expect(sends.judge(small, wait).kind).toEqual('unplanned');
    const large = buildBusyFleet(MANY_ENGINES, 2000);
    expect(sends.judge(large, wait, 5000).kind).toEqual('unplanned');
    expect(sends.judge(large, wait, 9_000_000).kind).toEqual('unplanned');
  });

  it('announces a waiting prompt, and the end of its wait', () => {
    const sends = new TestSends();
    const wait = new PromptWait('a#1');
    const busy = buildBusyFleet(MANY_ENGINES, 800);
    expect(sends.judge(busy, wait).kind).toEqual('wait');
    expect(sends.judge(busy, wait).kind).toEqual('wait');
    expect(sends.reports.length).toEqual(1);
    sends.judge(new TestFleet(MANY_ENGINES), wait);
    expect(sends.reports.map(({validMs}) => validMs > 0)).toEqual([
      true,
      false,
    ]);
    expect(sends.waiting.size).toEqual(0);
  });

  it('refuses a prompt that cannot be prefilled before its caller leaves', () => {
    // Guards against callers that wait in vain until their deadline.
    const decision = new TestSends().judge(
      buildBusyFleet(MANY_ENGINES, 6000),
      new PromptWait('a#1'),
      TOKENS,
      5000,
    );
    expect(decision.kind).toEqual('refuse');
  });

  it('yields to a prompt that goes first, but not to one whose gate has died', () => {
    // Guards against a dead gate whose prompts hold engines.
    const sends = new TestSends();
    const fleet = new TestFleet(MANY_ENGINES);
    const wait = new PromptWait('b#1');
    sends.waiting.receive({
      key: 'a#1',
      service: 'chat',
      prefillMs: estimatePrefillMs(TOKENS, LONG_ITERATION_ENGINE),
      dueMs: 3500,
      validMs: 700,
    });
    expect(sends.judge(fleet, wait).kind).toEqual('wait');
    sends.now = 30;
    expect(sends.judge(fleet, wait).kind).toEqual('send');
  });

  it('plans anew with the engines that are left', () => {
    // Guards against a start that relies on an engine that has left.
    const sends = new TestSends();
    const wait = new PromptWait('a#1');
    const busy = buildBusyFleet(MANY_ENGINES, 800);
    expect(sends.judge(busy, wait).kind).toEqual('wait');
    const fewer = buildBusyFleet(33, 800);
    expect(sends.judge(fewer, wait).kind).toEqual('wait');
    expect(sends.judge(buildBusyFleet(20, 800), wait).kind).toEqual(
      'unplanned',
    );
  });

  it('keeps a bounded number of waiting prompts', () => {
    // Guards against a peer that fills the memory of others.
    const {waiting} = new TestSends();
    for (let i = 0; i < 2000; i++)
      waiting.receive({
        key: `a#${i}`,
        service: 'chat',
        prefillMs: 900,
        dueMs: 3000,
        validMs: 1e9,
      });
    expect(waiting.size).toEqual(512);
  });
});
