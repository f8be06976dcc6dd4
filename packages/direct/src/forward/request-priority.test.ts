import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {TargetScript} from '../test/fake-target.js';
import type {ClientAccount, FleetConfig} from '../types.js';

const streamComplete: TargetScript = (req, res) => {
  res.writeHead(200, {
    ...buildSignedHead(req),
    'content-type': 'text/event-stream',
  });
  res.end(formatEvents(1, 2));
};

/** Returns the priorities that an engine is told for prompts of these sizes. */
async function readToldPriorities(
  accounts: readonly ClientAccount[],
  tokens: readonly number[],
): Promise<ReadonlyArray<string | string[] | undefined>> {
  const config: FleetConfig = buildConfig(1, {accounts});
  const harness = await openGateHarness({config});
  const engine = await harness.addTarget('e1', 'chat', streamComplete);
  await harness.waitUntil(() =>
    harness.lines.some(line => line.includes('"target_added"')),
  );
  for (const count of tokens)
    expect((await harness.call('/stream/x', {tokens: count})).status).toEqual(
      200,
    );
  harness.close();
  return engine.heads.map(head => head['x-test-priority']);
}

describe('priority of requests', () => {
  const sizes = [5000, 45_000, 100_000];

  it('is told by size where accounts have no priority', async () => {
    const account = {name: 'acme', keys: ['k1']};
    expect(await readToldPriorities([account], sizes)).toEqual(['2', '4', '5']);
  });

  it('is told by urgency before size where accounts differ', async () => {
    const account = {name: 'acme', keys: ['k1'], priority: 3};
    const other = {name: 'other', keys: ['k2'], priority: 0};
    expect(await readToldPriorities([account, other], sizes)).toEqual([
      '3',
      '4',
      '5',
    ]);
    const more = {...account, priority: -1};
    expect(await readToldPriorities([more, other], sizes)).toEqual([
      '0',
      '1',
      '2',
    ]);
  });
});
