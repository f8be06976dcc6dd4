import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HeldReading, ReadTurns} from './read-turns.js';

/** Bytes above what one turn reads. */
const MUCH = 1024 * 1024;

function openReadings(count: number): {
  readonly sockets: readonly Socket[];
  readonly readings: readonly HeldReading[];
} {
  const sockets = Array.from({length: count}, () => new Socket().resume());
  return {sockets, readings: sockets.map(socket => new HeldReading(socket))};
}

describe('turns of reading', () => {
  it('read all connections until a turn has read enough, and each again', async () => {
    // Guards against a turn that reads what a whole crowd has sent.
    const turns = new ReadTurns();
    const {sockets, readings} = openReadings(40);
    for (const reading of readings) turns.add(reading);
    const countRead = () => sockets.filter(s => !s.isPaused()).length;
    turns.recordRead(1);
    expect(countRead()).toEqual(40);
    turns.recordRead(MUCH);
    expect(countRead()).toEqual(0);
    await nextTurn();
    const begun = countRead();
    expect(begun > 0 && begun < 40).toEqual(true);
    for (let i = 0; i < 40; i++) await nextTurn();
    expect(countRead()).toEqual(40);
  });

  it('do not read a connection that its reader has paused', async () => {
    // Guards against a body that is buffered without a bound.
    const turns = new ReadTurns();
    const {sockets, readings} = openReadings(2);
    for (const reading of readings) turns.add(reading);
    sockets[0].pause();
    turns.recordRead(MUCH);
    sockets[1].resume();
    expect(sockets.map(s => s.isPaused())).toEqual([true, true]);
    await nextTurn();
    expect(sockets.map(s => s.isPaused())).toEqual([true, false]);
    sockets[0].resume();
    expect(sockets[0].isPaused()).toEqual(false);
  });

  it('read a connection at once whose body has arrived', () => {
    const turns = new ReadTurns();
    const {sockets, readings} = openReadings(1);
    turns.add(readings[0]);
    turns.recordRead(MUCH);
    turns.remove(readings[0]);
    expect(sockets[0].isPaused()).toEqual(false);
  });
});
