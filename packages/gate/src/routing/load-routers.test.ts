import {describe, it} from 'node:test';
import {hashPrefixes} from '@nutmeggauge/core';
import {expect} from 'earl';
import {createTarget} from '../test/target.js';
import {ClassLoadRouter, TokenLoadRouter} from './load-routers.js';
import type {RouteRequest} from './router.js';

const createRequest = (prompt: string): RouteRequest => ({
  promptTokens: prompt.length / 4,
  maxTokens: 16,
  isLongPrompt: false,
  prefixes: hashPrefixes(prompt),
});

const pickFirst = () => 0;

describe('ClassLoadRouter', () => {
  const router = new ClassLoadRouter(pickFirst);
  const shortRequest = createRequest('q'.repeat(4000));

  it('chooses a target with long pending prompts over one with short ones for a short prompt', () => {
    // Guards against queueing a short prompt behind other short prompts because
    // a long prompt elsewhere has more pending tokens.
    const longBacklog = createTarget('long', [0, 0, 0, 1_000_000]);
    const shortBacklog = createTarget('questions', [40_000, 0, 0, 0]);
    const picked = router.choose([shortBacklog, longBacklog], shortRequest);
    expect(picked?.id).toEqual('long');
  });

  it('chooses an idle target over one with a long pending prompt', () => {
    const longBacklog = createTarget('long', [0, 0, 0, 1_000_000]);
    const idle = createTarget('idle', [0, 0, 0, 0]);
    expect(router.choose([longBacklog, idle], shortRequest)?.id).toEqual(
      'idle',
    );
  });

  it('counts prompt tokens that the gate sent since the last load report', () => {
    // Guards against sending every request to one target between two of its
    // load reports.
    const withUnreportedTokens = createTarget(
      'sent',
      [0, 0, 0, 0],
      [20_000, 0, 0, 0],
    );
    const other = createTarget('other', [10_000, 0, 0, 0]);
    expect(
      router.choose([withUnreportedTokens, other], shortRequest)?.id,
    ).toEqual('other');
  });
});

describe('TokenLoadRouter', () => {
  it('chooses a target that was sent the same prompt prefix although another has fewer pending tokens', () => {
    const router = new TokenLoadRouter(pickFirst);
    const systemPrompt = 's'.repeat(16_000);
    const first = createTarget('first', [0, 0, 0, 0]);
    const prefixHolder = createTarget('holder', [1000, 0, 0, 0]);
    const createFollowUp = (text: string) => createRequest(systemPrompt + text);
    expect(
      router.choose([first, prefixHolder], createFollowUp('a'))?.id,
    ).toEqual('first');
    router.recordSent(prefixHolder, createFollowUp('a'));
    expect(
      router.choose([first, prefixHolder], createFollowUp('b'))?.id,
    ).toEqual('holder');
  });
});
