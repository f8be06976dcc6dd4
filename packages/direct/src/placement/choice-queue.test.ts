import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ChoiceQueue} from './choice-queue.js';

/** Callers of short streams that come back at once after the loss of all gates. */
const CALLERS = 60;
const ARRIVAL_SPAN_MS = 300;
const OBJECTIVE_MS = 309;

/** Time of a choice at a gate with a quarter of a core whose code is cold, in ms. */
const CHOICE_MS = 16;

interface MadeChoice {
  readonly caller: number;
  readonly endedAt: number;
  readonly isInTime: boolean;
}

/** Plays the return of all callers; returns the choices in their order. */
function runReturn(): readonly MadeChoice[] {
  const queue = new ChoiceQueue();
  const made: MadeChoice[] = [];
  let now = 0;
  let arrived = 0;
  while (made.length < CALLERS) {
    for (; arrived < CALLERS; arrived++) {
      const caller = arrived;
      const arrivedAt = (caller * ARRIVAL_SPAN_MS) / CALLERS;
      if (arrivedAt > now) break;
      const dueAt = arrivedAt + OBJECTIVE_MS;
      const run = () => {
        now += CHOICE_MS;
        made.push({caller, endedAt: now, isInTime: now <= dueAt});
      };
      queue.add({isRepeated: false, dueAt, run});
    }
    const next = queue.pickNext(now, CHOICE_MS);
    if (next === undefined) now++;
    else next.run();
  }
  return made;
}

describe('choice queue', () => {
  it('keeps more callers in time when 60 return within 300 ms at a quarter of a core', () => {
    // Guards against late prompts that make all that follow late: with the
    // earliest due first, only the first 27 of these callers are in time.
    const made = runReturn();
    expect(made.filter(({isInTime}) => isInTime).length).toEqual(35);
  });

  it('starves no late caller while others are in time', () => {
    const made = runReturn();
    const callers = made.map(({caller}) => caller);
    expect(new Set(callers).size).toEqual(CALLERS);
    expect(made[made.length - 1].endedAt).toEqual(CALLERS * CHOICE_MS);
    const firstLate = made.findIndex(({isInTime}) => !isInTime);
    const lastInTime = made.findLastIndex(({isInTime}) => isInTime);
    const between = made.slice(firstLate, lastInTime);
    const late = between.filter(({isInTime}) => !isInTime);
    expect(late.length >= Math.floor(between.length / 4)).toEqual(true);
  });

  it('makes late first choices before repeated ones', () => {
    const queue = new ChoiceQueue();
    const order: string[] = [];
    const add = (name: string, dueAt: number, isRepeated: boolean) =>
      queue.add({isRepeated, dueAt, run: () => order.push(name)});
    add('repeated', 1000, true);
    add('late', 10, false);
    add('in time', 600, false);
    while (queue.length > 0) queue.pickNext(500, CHOICE_MS)?.run();
    expect(order).toEqual(['in time', 'late', 'repeated']);
  });
});
