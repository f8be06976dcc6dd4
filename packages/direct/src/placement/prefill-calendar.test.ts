import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {PrefillCalendar, planPrefill} from './prefill-calendar.js';

describe('PrefillCalendar', () => {
  it('finds the earliest start from which the objective is met', () => {
    const calendar = new PrefillCalendar([900, 0, 400]);
    const planned = calendar.find({key: 'a#1', prefillMs: 1500, dueMs: 1500});
    expect(planned).toEqual({
      startMs: 400,
      endMs: 1150,
      engines: 2,
      isInTime: true,
    });
  });

  it('finds the earliest end for a prompt that is late in any case', () => {
    const calendar = new PrefillCalendar([0, 0, 5000]);
    const planned = calendar.find({key: 'a#1', prefillMs: 2000, dueMs: 100});
    expect(planned?.endMs).toEqual(1000);
    expect(planned?.isInTime).toEqual(false);
  });

  it('plans nothing without engines', () => {
    const own = {key: 'a#1', prefillMs: 100, dueMs: 100};
    expect(planPrefill([], [], own)).toEqual(undefined);
  });
});

describe('planPrefill', () => {
  it('plans a prompt behind one that is due earlier', () => {
    // Guards against two gates that send to the same free engine.
    const other = {key: 'b#1', prefillMs: 1000, dueMs: 1500};
    const own = {key: 'a#1', prefillMs: 1000, dueMs: 3000};
    const planned = planPrefill([0, 5000], [other], own);
    expect(planned?.startMs).toEqual(1000);
    expect(planned?.ahead).toEqual(1);
  });

  it('plans a prompt that is late in any case behind the others', () => {
    // Guards against prompts that miss their objective one after the other
    // because each waits for one that is late already.
    const inTime = {key: 'b#1', prefillMs: 1000, dueMs: 1500};
    const late = {key: 'a#1', prefillMs: 1000, dueMs: -100};
    expect(planPrefill([0], [inTime], late)?.startMs).toEqual(1000);
    expect(planPrefill([0], [late], inTime)?.startMs).toEqual(0);
  });

  it('lets exactly one of any waiting prompts begin first', () => {
    // Guards against gates that all wait for each other.
    const prompt = fc.record({
      prefillMs: fc.integer({min: 400, max: 9000}),
      dueMs: fc.integer({min: -2000, max: 4000}),
    });
    fc.assert(
      fc.property(
        fc.array(prompt, {minLength: 1, maxLength: 12}),
        fc.array(fc.integer({min: 0, max: 3000}), {
          minLength: 1,
          maxLength: 40,
        }),
        (prompts, freeMs) => {
          const all = prompts.map((item, i) => ({...item, key: `g#${i}`}));
          const free = [0, ...freeMs];
          const plans = all.map(own =>
            planPrefill(
              free,
              all.filter(other => other !== own),
              own,
            ),
          );
          const first = plans.filter(planned => planned?.ahead === 0);
          expect(first.length).toEqual(1);
        },
      ),
    );
  });
});
