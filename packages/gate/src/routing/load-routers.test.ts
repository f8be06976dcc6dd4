import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createTarget} from '../test/target.js';
import {ClassLoadRouter, TokenLoadRouter} from './load-routers.js';
import {hashPrefixes} from './prefix-memory.js';
import type {RouteRequest} from './router.js';

const createRequest = (prompt: string): RouteRequest => ({
  promptTokens: prompt.length / 4,
  maxTokens: 16,
  isLong: false,
  prefixes: hashPrefixes(prompt),
});

const pickFirst = () => 0;

describe('class-load router', () => {
  const router = new ClassLoadRouter(pickFirst);
  const question = createRequest('q'.repeat(4000));

  it('sends a short prompt past a long backlog, not behind short ones', () => {
    // Guards against queueing a question behind others because a longer prompt
    // has more tokens.
    const longBacklog = createTarget('long', [0, 0, 0, 1_000_000]);
    const questions = createTarget('questions', [40_000, 0, 0, 0]);
    const picked = router.choose([questions, longBacklog], question);
    expect(picked?.id).toEqual('long');
  });

  it('prefers an engine that reads nothing to one with a long prompt', () => {
    const longBacklog = createTarget('long', [0, 0, 0, 1_000_000]);
    const idle = createTarget('idle', [0, 0, 0, 0]);
    expect(router.choose([longBacklog, idle], question)?.id).toEqual('idle');
  });

  it('counts what this gate sent since the last load report', () => {
    // Guards against sending everything to one engine between two reports.
    const justSent = createTarget('sent', [0, 0, 0, 0], [20_000, 0, 0, 0]);
    const other = createTarget('other', [10_000, 0, 0, 0]);
    expect(router.choose([justSent, other], question)?.id).toEqual('other');
  });
});

describe('token-load router', () => {
  it('prefers the engine that was sent the same beginning', () => {
    const router = new TokenLoadRouter(pickFirst);
    const system = 's'.repeat(16_000);
    const first = createTarget('first', [0, 0, 0, 0]);
    const holder = createTarget('holder', [1000, 0, 0, 0]);
    const ask = (text: string) => createRequest(system + text);
    expect(router.choose([first, holder], ask('a'))?.id).toEqual('first');
    router.recordSent(holder, ask('a'));
    expect(router.choose([first, holder], ask('b'))?.id).toEqual('holder');
  });
});
