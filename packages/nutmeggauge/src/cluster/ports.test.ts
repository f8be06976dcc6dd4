import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findFreePorts} from './ports.js';

/** First port of the default ephemeral range of Linux. */
const FIRST_EPHEMERAL_PORT = 32_768;

describe('findFreePorts', () => {
  it('returns distinct ports below the ephemeral range', async () => {
    // Guards against a port that the system assigns to an outgoing connection
    // before the process for which it was chosen has started.
    const ports = await findFreePorts(40);
    expect(new Set(ports).size).toEqual(40);
    expect(ports.filter(port => port >= FIRST_EPHEMERAL_PORT)).toEqual([]);
  });
});
