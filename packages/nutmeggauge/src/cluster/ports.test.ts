import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findFreePorts} from './ports.js';

/** First port that Linux lends to outgoing connections. */
const FIRST_LENT = 32_768;

describe('ports of a local cluster', () => {
  it('are none that the system lends to others meanwhile', async () => {
    // A demo starts beside other programs. One of its ports was lent to an
    // outgoing connection before the process it was for had started: that
    // one ended with EADDRINUSE and took the demo with it.
    const ports = await findFreePorts(40);
    expect(new Set(ports).size).toEqual(40);
    expect(ports.filter(port => port >= FIRST_LENT)).toEqual([]);
  });
});
