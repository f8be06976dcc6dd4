import {describe, it} from 'node:test';
import {expect} from 'earl';
import {BEGIN_WINDOW_MS} from './crash.js';
import {Fingerprint} from './fingerprint.js';
import {DEFAULT_REFUSAL_MS, createSuspectRequests} from './suspect-requests.js';
import type {CrashReport} from './crash-report.js';
import type {SuspectRequests} from './suspect-requests.js';

const ACCOUNT = 'acme';

/** Builds a request with a content of its own. */
function buildRequest(
  body: string,
  parts: readonly string[],
  account = ACCOUNT,
): Fingerprint {
  return new Fingerprint({
    method: 'POST',
    host: 'site',
    path: '/',
    account,
    body,
    listParts: () => parts,
  });
}

/** Number of requests of all gates, so that no two are alike. */
let requestCount = 0;

/** Suspect requests of one gate under a clock that a test sets. */
class TestGate {
  now = 1000;
  readonly announced: CrashReport[] = [];
  readonly ended = new Map<string, number>();
  readonly suspects: SuspectRequests;

  constructor() {
    this.suspects = createSuspectRequests({
      readNow: () => this.now,
      announce: reports => this.announced.push(...reports),
      listEnded: () => this.ended,
    });
  }

  /** Crashes a server under a new request with these parts. */
  recordCrash(
    target: string,
    parts: readonly string[],
    account = ACCOUNT,
  ): void {
    const fingerprint = this.build(parts, account);
    this.suspects.recordCrash({fingerprint, target, sentAt: this.now - 5});
    this.now += 10;
  }

  /** Begins an answer to a new request with these parts. */
  begin(parts: readonly string[], account = ACCOUNT): void {
    this.suspects.recordBegin(this.build(parts, account));
    this.now += 10;
  }

  /** Answers a new request with these parts. */
  answer(parts: readonly string[]): void {
    this.suspects.recordAnswer(this.build(parts), this.now - 1000);
    this.now += 10;
  }

  /** Waits until peers could have cleared what the gate suspects. */
  waitForVerdict(): void {
    this.now += 100;
    this.suspects.expire();
  }

  judge(parts: readonly string[], account = ACCOUNT): string {
    return this.suspects.judge(this.build(parts, account));
  }

  private build(parts: readonly string[], account = ACCOUNT): Fingerprint {
    return buildRequest(`request ${++requestCount}`, parts, account);
  }
}

describe('part of prompts under which servers crash', () => {
  it('is refused after three crashes, whatever else the requests hold', () => {
    const gate = new TestGate();
    gate.recordCrash('s1', ['a', 'bad']);
    expect(gate.judge(['bad', 'z'])).toEqual('suspect');
    gate.recordCrash('s2', ['b', 'bad']);
    expect(gate.judge(['bad', 'z'])).toEqual('suspect');
    gate.recordCrash('s3', ['bad', 'c']);
    expect(gate.judge(['bad'])).toEqual('refused');
    expect(gate.judge(['x', 'bad', 'y'])).toEqual('refused');
  });

  it('is not refused for a single content, however often that crashes servers', () => {
    // Guards against refusing the parts of a request whose own content is bad.
    const gate = new TestGate();
    const fingerprint = buildRequest('same', ['a', 'b']);
    for (const target of ['s1', 's2', 's3', 's4'])
      gate.suspects.recordCrash({fingerprint, target});
    expect(gate.suspects.judge(fingerprint)).toEqual('refused');
    expect(gate.judge(['a', 'b'])).toEqual('suspect');
  });

  it('is cleared for all gates at once by an answer that begins', () => {
    // Guards against sound requests that wait while one of their parts is suspect.
    const gate = new TestGate();
    const peer = new TestGate();
    for (const target of ['s1', 's2', 's3'])
      gate.recordCrash(target, ['common', 'bad']);
    peer.now = gate.now;
    peer.suspects.merge(gate.announced.splice(0));
    expect(peer.judge(['common'])).toEqual('suspect');
    peer.begin(['common', 'other']);
    expect(peer.judge(['common'])).toEqual('free');
    gate.now = peer.now;
    gate.suspects.merge(peer.announced.splice(0));
    expect(gate.judge(['common'])).toEqual('free');
    expect(gate.judge(['bad'])).toEqual('refused');
  });

  it('is cleared at a gate that has missed the answer by its next report', () => {
    // Guards against a suspended gate that refuses a common part by old crashes.
    const gate = new TestGate();
    const late = new TestGate();
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['p']);
    late.now = gate.now;
    late.suspects.merge(gate.announced.splice(0));
    gate.begin(['p']);
    gate.announced.length = 0;
    late.now = gate.now;
    late.recordCrash('s4', ['p']);
    expect(late.judge(['p'])).toEqual('refused');
    gate.suspects.merge(late.announced.splice(0));
    late.suspects.merge(gate.announced.splice(0));
    expect(late.judge(['p'])).toEqual('free');
  });

  it('is told again only by the gate whose answer has cleared it', () => {
    // Guards against all gates that correct each other at once.
    const gate = new TestGate();
    const other = new TestGate();
    gate.recordCrash('s1', ['p']);
    const stale = gate.announced.splice(0);
    other.suspects.merge(stale);
    gate.begin(['p']);
    other.suspects.merge(gate.announced.splice(0));
    other.announced.length = 0;
    other.suspects.merge(stale);
    expect(other.announced).toEqual([]);
    gate.suspects.merge(stale);
    expect(gate.announced.length).toEqual(1);
    gate.suspects.merge(stale);
    expect(gate.announced.length).toEqual(1);
  });

  it('that has had answers does not hold up requests with it by one or two crashes', () => {
    // Guards against thousands of sound requests that wait for each other.
    const gate = new TestGate();
    gate.begin(['common', 'x']);
    gate.recordCrash('s1', ['common', 'bad']);
    gate.recordCrash('s2', ['common', 'bad']);
    expect(gate.judge(['common', 'y'])).toEqual('free');
    expect(gate.judge(['common', 'bad'])).toEqual('suspect');
  });

  it('is told to peers only while it is under suspicion', () => {
    // Guards against messages for each of thousands of sound requests.
    const gate = new TestGate();
    gate.recordCrash('s1', ['common', 'bad']);
    gate.begin(['common']);
    gate.announced.length = 0;
    for (let i = 0; i < 100; i++) gate.begin(['common', `session${i}`]);
    for (let i = 0; i < 100; i++) gate.answer(['common', `session${i}`]);
    expect(gate.announced).toEqual([]);
  });

  it('refuses only requests with all parts that were never seen apart', () => {
    // Guards against refusing a sound part that came with the bad one each time.
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3'])
      gate.recordCrash(target, ['p', 'q']);
    expect(gate.judge(['p', 'q', 'x'])).toEqual('refused');
    expect(gate.judge(['p'])).toEqual('suspect');
    expect(gate.judge(['q'])).toEqual('suspect');
    gate.begin(['p', 'x']);
    expect(gate.judge(['p'])).toEqual('free');
    expect(gate.judge(['q'])).toEqual('refused');
  });

  it('is told apart from its companion by a crash without that one', () => {
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3'])
      gate.recordCrash(target, ['p', 'q']);
    gate.recordCrash('s4', ['q', 'x']);
    expect(gate.judge(['q'])).toEqual('refused');
    expect(gate.judge(['p'])).toEqual('free');
  });

  it('explains the crashes of bystanders once it is refused', () => {
    // Guards against parts of requests that shared a server with the bad one.
    const gate = new TestGate();
    gate.recordCrash('s1', ['bad']);
    gate.recordCrash('s1', ['session']);
    gate.recordCrash('s2', ['bad']);
    gate.recordCrash('s2', ['session']);
    expect(gate.judge(['session'])).toEqual('suspect');
    gate.recordCrash('s3', ['bad']);
    expect(gate.judge(['session'])).toEqual('free');
  });

  it('needs a fourth crash while servers crash that it does not explain', () => {
    // Guards against refusing a part that a wave of crashes has hit.
    const gate = new TestGate();
    for (const target of ['x1', 'x2']) gate.ended.set(target, gate.now);
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['p']);
    expect(gate.judge(['p'])).toEqual('suspect');
    gate.recordCrash('s4', ['p']);
    expect(gate.judge(['p'])).toEqual('refused');
  });

  it('with good answers before is not refused for crashes at one moment', () => {
    // Guards against a wave that refuses the part which all requests share.
    const gate = new TestGate();
    gate.answer(['common']);
    for (let i = 0; i < 8; i++) {
      gate.now = 2000;
      gate.recordCrash(`s${i}`, ['common', `session${i}`]);
    }
    expect(gate.judge(['common']) === 'refused').toEqual(false);
    gate.begin(['common']);
    expect(gate.judge(['common'])).toEqual('free');
  });

  it('turns bad after a thousand good answers and is refused after three crashes', () => {
    // Guards against evidence of the past that outweighs every crash.
    const gate = new TestGate();
    for (let i = 0; i < 1000; i++) gate.answer(['late']);
    for (const target of ['s1', 's2', 's3']) {
      expect(gate.judge(['late']) === 'refused').toEqual(false);
      gate.recordCrash(target, ['late']);
    }
    gate.waitForVerdict();
    expect(gate.judge(['late'])).toEqual('refused');
  });

  it('is tried again soon if it had good answers, and then less often', () => {
    // Guards against refusing a common part for ten minutes by a wrong verdict.
    const gate = new TestGate();
    gate.answer(['late']);
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['late']);
    gate.begin(['other']);
    gate.waitForVerdict();
    expect(gate.judge(['late'])).toEqual('refused');
    gate.now += 10_000;
    gate.suspects.expire();
    expect(gate.judge(['late'])).toEqual('suspect');
    gate.recordCrash('s4', ['late']);
    gate.begin(['other']);
    gate.waitForVerdict();
    expect(gate.judge(['late'])).toEqual('refused');
    gate.now += 15_000;
    gate.suspects.expire();
    expect(gate.judge(['late'])).toEqual('refused');
  });

  it('is refused for a second only while no other request is answered', () => {
    // Guards against refusing the part of all requests because every server has
    // crashed for another reason.
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['p']);
    expect(gate.judge(['p'])).toEqual('refused');
    gate.now += 1000;
    gate.suspects.expire();
    expect(gate.judge(['p'])).toEqual('suspect');
    gate.begin(['other']);
    gate.suspects.expire();
    expect(gate.judge(['p'])).toEqual('refused');
  });

  it('recovers with the first answer after the refusal', () => {
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['bad']);
    gate.begin(['other']);
    gate.now += DEFAULT_REFUSAL_MS;
    gate.suspects.expire();
    expect(gate.judge(['bad'])).toEqual('suspect');
    gate.begin(['bad']);
    expect(gate.judge(['bad'])).toEqual('free');
  });

  it('refuses another account only after a crash of its own', () => {
    // Guards against a caller that makes the gates refuse another one's requests
    // by naming its parts.
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['p']);
    expect(gate.judge(['p'])).toEqual('refused');
    expect(gate.judge(['p'], 'other')).toEqual('suspect');
    gate.recordCrash('s4', ['p'], 'other');
    expect(gate.judge(['p'], 'other')).toEqual('refused');
  });

  it('is refused too if each crash comes after the first event', () => {
    // Guards against a begun answer that clears the part which ends it.
    const gate = new TestGate();
    gate.answer(['common']);
    for (const target of ['s1', 's2', 's3', 's4']) {
      const fingerprint = buildRequest(`late ${target}`, ['common', 'bad']);
      const beganAt = gate.now;
      gate.suspects.recordBegin(fingerprint);
      gate.now += BEGIN_WINDOW_MS - 50;
      const run = {fingerprint, target, beganAt, sentAt: beganAt - 100};
      gate.suspects.recordCrash(run);
      gate.now += 100;
      gate.answer(['common']);
    }
    expect(gate.judge(['common', 'bad'])).toEqual('refused');
    expect(gate.judge(['common'])).toEqual('free');
  });

  it('is not suspect for a crash long after the begin of a run', () => {
    const gate = new TestGate();
    for (let i = 0; i < 5; i++)
      gate.suspects.recordCrash({
        fingerprint: buildRequest(`long ${i}`, ['p']),
        target: `s${i}`,
        beganAt: 0,
        brokenAt: BEGIN_WINDOW_MS + 1,
      });
    expect(gate.judge(['p'])).toEqual('free');
  });

  it('of another service is another part', () => {
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3'])
      gate.recordCrash(target, ['chat/p']);
    expect(gate.judge(['search/p'])).toEqual('free');
  });

  it('is reported with few of its crashes, and is refused by the peer all the same', () => {
    // Guards against a heartbeat that is too long for a datagram.
    const gate = new TestGate();
    const peer = new TestGate();
    for (let i = 0; i < 40; i++) gate.recordCrash(`s${i % 4}`, ['p']);
    const reports = gate.suspects.listAll();
    const part = reports.find(({content}) => content === 'part:p');
    expect(Number(part?.crashes.length) <= 8).toEqual(true);
    peer.now = gate.now;
    peer.suspects.merge(reports);
    expect(peer.judge(['p'])).toEqual('refused');
  });

  it('stays refused in bounded memory and messages however many parts crash', () => {
    // Guards against prompts of many parts that displace a refused one.
    const gate = new TestGate();
    for (const target of ['s1', 's2', 's3']) gate.recordCrash(target, ['bad']);
    gate.begin(['other']);
    for (let i = 0; i < 100; i++)
      gate.recordCrash(
        `t${i}`,
        Array.from({length: 500}, (_, part) => `${i}/${part}`),
      );
    expect(gate.judge(['bad'])).toEqual('refused');
    expect(gate.suspects.size <= 1024).toEqual(true);
    const reports = [gate.announced.slice(-49), gate.suspects.listAll()];
    for (const report of reports)
      expect(JSON.stringify(report).length < 16_000).toEqual(true);
  });
});
