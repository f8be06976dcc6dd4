import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {expect} from 'earl';
import {GateProcess} from './gate-process.js';

/** Longest start of a gate on a busy machine, in ms. */
const MAX_START_MS = 20_000;

describe('gate process of the soak', () => {
  it('counts one stop for two SIGTERMs to the same process', async () => {
    // Guards against a second SIGTERM that prolongs what the first one excuses.
    const folder = mkdtempSync(join(tmpdir(), 'nutmeggauge-'));
    const host = buildLoopbackHost(0);
    const gate = new GateProcess(
      {
        node: 'gate-0',
        host,
        ingressPort: 28_101,
        readyPort: 28_102,
        peerPort: 28_103,
        store: '127.0.0.1:9',
        seedHosts: [],
      },
      folder,
      () => undefined,
    );
    try {
      gate.start();
      const giveUpAt = performance.now() + MAX_START_MS;
      while (gate.outages[0].to === Infinity && performance.now() < giveUpAt)
        await sleep(20);
      gate.drain();
      const [{at}] = gate.stops;
      await sleep(50);
      gate.drain();
      expect(gate.stops).toEqual([{node: 'gate-0', at}]);
    } finally {
      await gate.close();
      rmSync(folder, {recursive: true});
    }
  });
});
