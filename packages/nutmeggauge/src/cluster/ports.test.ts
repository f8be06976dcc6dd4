import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findFreePorts} from './ports.js';

/** First ephemeral port of Linux. */
const FIRST_LENT = 32_768;

describe('ports of a local cluster', () => {
  it('are none that the system lends to others meanwhile', async () => {
    // Guards against a port that is lent to an outgoing connection before its
    // process starts.
    const ports = await findFreePorts(40);
    expect(new Set(ports).size).toEqual(40);
    expect(ports.filter(port => port >= FIRST_LENT)).toEqual([]);
  });
});
