import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {chooseHoldMs} from './choose-hold.js';
import type {RivalEvent} from './choose-hold.js';

const PATIENCE_MS = 2000;

const rivalEvents: fc.Arbitrary<RivalEvent> = fc.record({
  silentMs: fc.integer({min: 0, max: 2500}),
  patienceMs: fc.constant(PATIENCE_MS),
  pauseMs: fc.integer({min: 0, max: 5000}),
  other: fc.record({
    dueMs: fc.option(fc.integer({min: 0, max: 2500}), {nil: undefined}),
    pauseMs: fc.integer({min: 0, max: 5000}),
  }),
});

describe('chooseHoldMs', () => {
  it('holds an event only for an engine that is due in time and goes on longer', () => {
    // Guards against an event that is held until its caller has left.
    fc.assert(
      fc.property(rivalEvents, event => {
        const holdMs = chooseHoldMs(event);
        if (holdMs === 0) return;
        const {dueMs = Infinity, pauseMs} = event.other;
        expect(event.silentMs + holdMs < PATIENCE_MS).toEqual(true);
        expect(dueMs <= holdMs).toEqual(true);
        expect(pauseMs < event.pauseMs).toEqual(true);
      }),
    );
  });

  it('forwards an event at once if its engine goes on', () => {
    const other = {dueMs: 0, pauseMs: 50};
    const event = {silentMs: 1600, patienceMs: PATIENCE_MS, other};
    expect(chooseHoldMs({...event, pauseMs: 1700})).toEqual(0);
    expect(chooseHoldMs({...event, pauseMs: 2100})).toEqual(300);
  });
});
