import type {ServerState} from '@nutmeggauge/core';
import {describe, it} from 'node:test';
import {Writable} from 'node:stream';
import {
  Fingerprint,
  ServerCheck,
  createCounters,
  createSuspectRequests,
} from '@nutmeggauge/core';
import {expect} from 'earl';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildTarget} from '../test/build-target.js';
import {CrashWatch} from './crash-watch.js';
import type {RequestMetadata} from '../types.js';

/** Answers every check with the state that a test sets. */
class FakeServerCheck extends ServerCheck {
  state: ServerState = 'up';
  checks = 0;

  override async check(): Promise<ServerState> {
    this.checks++;
    return this.state;
  }
}

const FACTS: RequestMetadata = {
  requestId: 'q1',
  deadlineMs: undefined,
  apiKey: undefined,
  promptTokens: 1000,
  maxOutputTokens: 100,
  sharedParts: ['p1', 'p2'],
};

function openWatch() {
  const state = createFleetState(() => performance.now());
  const serverCheck = new FakeServerCheck();
  const counters = createCounters();
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const log = createDecisionLog({proc: 'g', output, readWallMs: Date.now});
  const suspects = createSuspectRequests();
  const ended: string[] = [];
  const announced: string[] = [];
  const watch = new CrashWatch({
    state,
    serverCheck,
    suspects,
    log,
    counters,
    readNow: () => performance.now(),
    onEnd: target => ended.push(target),
    announceEnd: target => announced.push(target),
  });
  const fingerprint = new Fingerprint({
    method: 'POST',
    host: 'site',
    path: '/',
    account: 'acme',
    body: Buffer.alloc(0),
  });
  const judge = (id: string) =>
    watch.judgeBreak({
      request: {fingerprint, facts: FACTS, account: 'acme', route: {name: 'r'}},
      target: buildTarget(id, 1),
      firstEventAt: undefined,
      sentAt: performance.now(),
    });
  return {
    state,
    serverCheck,
    counters,
    watch,
    ended,
    announced,
    judge,
    lines,
  };
}

describe('crash watch', () => {
  it('logs what the requests under which a server crashed may have in common', async () => {
    // Guards against crashes whose lines can't be compared.
    const {state, serverCheck, lines, judge} = openWatch();
    state.applyChange({kind: 'target', target: buildTarget('e1', 1)});
    serverCheck.state = 'ended';
    await judge('e1');
    const line = lines.find(text => text.includes('run_broken_off')) ?? '{}';
    const {account, route, tokens, parts} = JSON.parse(line);
    expect({account, route, tokens, parts}).toEqual({
      account: 'acme',
      route: 'r',
      tokens: 1000,
      parts: ['p1', 'p2'],
    });
  });

  it('takes a server for crashed only if it refuses connections', async () => {
    // Guards against a request that is blamed for a cut path or a spoilt answer.
    const {state, serverCheck, counters, judge} = openWatch();
    state.applyChange({kind: 'target', target: buildTarget('e1', 1)});
    for (const server of ['up', 'silent', 'ended'] as const) {
      serverCheck.state = server;
      expect(await judge('e1')).toEqual(server);
    }
    expect(counters.read()['crash.server_ended']).toEqual(1);
  });

  it('does not check a server that leaves as planned', async () => {
    // Guards against a request that is blamed for the end of a drained server.
    const {state, serverCheck, judge} = openWatch();
    serverCheck.state = 'ended';
    state.applyChange({kind: 'target', target: buildTarget('e1', 1, true)});
    expect(await judge('e1')).toEqual('left');
    expect(await judge('unlisted')).toEqual('left');
    expect(serverCheck.checks).toEqual(0);
  });

  it('checks a server once for all runs that it broke off', async () => {
    const {state, serverCheck, judge} = openWatch();
    serverCheck.state = 'ended';
    state.applyChange({kind: 'target', target: buildTarget('e1', 1)});
    await Promise.all([judge('e1'), judge('e1'), judge('e1')]);
    await judge('e1');
    expect(serverCheck.checks).toEqual(1);
  });

  it('tells other gates of an ended server once, and checks what they tell', async () => {
    // Guards against gates that keep choosing a server that one of them knows to
    // have ended, and against one gate's lost path that suspends it for all.
    const {state, serverCheck, watch, ended, announced, judge} = openWatch();
    const targets = [1, 2, 3].map(i => buildTarget(`e${i}`, i));
    for (const target of targets) state.applyChange({kind: 'target', target});
    serverCheck.state = 'ended';
    await Promise.all([judge('e1'), judge('e1')]);
    watch.recordRefusal(targets[1]);
    watch.recordRefusal(targets[1]);
    expect(announced).toEqual(['e1', 'e2']);
    serverCheck.state = 'up';
    await watch.confirmEnd('e3');
    expect(ended).toEqual(['e1', 'e2']);
    serverCheck.state = 'ended';
    await watch.confirmEnd('e3');
    expect(ended).toEqual(['e1', 'e2', 'e3']);
    expect(announced).toEqual(['e1', 'e2']);
  });
});
