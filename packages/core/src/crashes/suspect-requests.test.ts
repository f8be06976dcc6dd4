import {describe, it} from 'node:test';
import {expect} from 'earl';
import {BEGIN_WINDOW_MS} from './crash.js';
import {Fingerprint} from './fingerprint.js';
import {DEFAULT_REFUSAL_MS, createSuspectRequests} from './suspect-requests.js';
import type {CrashReport} from './crash-report.js';
import type {SuspectRequests} from './suspect-requests.js';

const HOUR_MS = 3_600_000;

function buildFingerprint(text: string): Fingerprint {
  return new Fingerprint({
    method: 'POST',
    host: 'site',
    path: '/',
    account: 'acme',
    body: Buffer.from(text),
  });
}

const BAD = buildFingerprint('bad');

/** Opens suspect requests under a clock that a test sets. */
function openSuspects(): {
  readonly clock: {now: number};
  readonly announced: CrashReport[];
  readonly peerCrashes: string[];
  readonly suspects: SuspectRequests;
} {
  const clock = {now: 1000};
  const announced: CrashReport[] = [];
  const peerCrashes: string[] = [];
  const suspects = createSuspectRequests({
    readNow: () => clock.now,
    announce: reports => announced.push(...reports),
    onPeerCrash: target => peerCrashes.push(target),
  });
  return {clock, announced, peerCrashes, suspects};
}

function recordEarly(
  suspects: SuspectRequests,
  fingerprint: Fingerprint,
  targets: readonly string[],
): void {
  for (const target of targets) suspects.recordCrash({fingerprint, target});
}

/** Records the crash of a server under a stream that had long begun. */
function recordLate(
  suspects: SuspectRequests,
  fingerprint: Fingerprint,
  target: string,
): void {
  suspects.recordCrash({
    fingerprint,
    target,
    beganAt: 0,
    brokenAt: BEGIN_WINDOW_MS + 1,
  });
}

describe('suspect requests', () => {
  it('refuse a content after two crashes soon after the begin of a run', () => {
    const {suspects, clock} = openSuspects();
    expect(suspects.judge(BAD)).toEqual('free');
    recordEarly(suspects, BAD, ['a']);
    expect(suspects.judge(BAD)).toEqual('suspect');
    clock.now += 1000;
    recordEarly(suspects, BAD, ['b']);
    expect(suspects.judge(BAD)).toEqual('refused');
    expect(suspects.judge(buildFingerprint('good'))).toEqual('free');
    expect(suspects.readRefusalLeftMs(BAD)).toEqual(DEFAULT_REFUSAL_MS);
  });

  it('count a server once, however many runs it breaks off', () => {
    // Guards against one crash that refuses a request sent twice to the server.
    const {suspects} = openSuspects();
    recordEarly(suspects, BAD, ['a', 'a', 'a']);
    expect(suspects.judge(BAD)).toEqual('suspect');
  });

  it('do not suspect a stream that had long begun, unless servers keep crashing', () => {
    // Guards against streams that are blamed for the prompt beside them, and
    // against a request that crashes servers late in its runs.
    const {suspects} = openSuspects();
    for (const target of ['a', 'b']) recordLate(suspects, BAD, target);
    expect(suspects.judge(BAD)).toEqual('free');
    recordLate(suspects, BAD, 'c');
    expect(suspects.judge(BAD)).toEqual('suspect');
    for (const target of ['d', 'e', 'f']) recordLate(suspects, BAD, target);
    expect(suspects.judge(BAD)).toEqual('refused');
  });

  it('are cleared by a whole answer, whichever report comes first', () => {
    // Guards against an innocent request that is refused by an old report.
    const {suspects, clock} = openSuspects();
    recordEarly(suspects, BAD, ['a']);
    const [beforeAnswer] = suspects.listAll();
    clock.now += 100;
    suspects.recordAnswer(BAD);
    expect(suspects.judge(BAD)).toEqual('free');
    suspects.merge([
      {...beforeAnswer, crashes: [{target: 'a', ageMs: 100, early: true}]},
      {content: BAD.id, crashes: [{target: 'z', ageMs: 150, early: true}]},
    ]);
    expect(suspects.judge(BAD)).toEqual('free');
    recordEarly(suspects, BAD, ['b']);
    expect(suspects.judge(BAD)).toEqual('free');
    clock.now += 1;
    recordEarly(suspects, BAD, ['c']);
    expect(suspects.judge(BAD)).toEqual('suspect');
  });

  it('need a third crash while servers crash that the content does not explain', () => {
    // Guards against refusing a request that two crashes of a wave have hit.
    const {suspects} = openSuspects();
    recordEarly(suspects, buildFingerprint('other'), ['x']);
    recordEarly(suspects, buildFingerprint('another'), ['y']);
    recordEarly(suspects, BAD, ['a', 'b']);
    expect(suspects.judge(BAD)).toEqual('suspect');
    recordEarly(suspects, BAD, ['c']);
    expect(suspects.judge(BAD)).toEqual('refused');
  });

  it('see a wave of crashes also by the streams that had long begun', () => {
    // Guards against refusing a request because the servers that crashed beside
    // its own had no other request that was about to begin.
    const {suspects} = openSuspects();
    recordLate(suspects, buildFingerprint('long'), 'x');
    recordLate(suspects, buildFingerprint('longer'), 'y');
    recordEarly(suspects, BAD, ['a', 'b']);
    expect(suspects.judge(BAD)).toEqual('suspect');
  });

  it('see a wave of crashes also by servers that ended under no request', () => {
    // Guards against refusing a request at the first moment of a wave, when only
    // the ends of idle servers are known.
    const listEnded = () =>
      new Map([
        ['x', 1000],
        ['y', 1000],
        ['a', 1000],
      ]);
    const suspects = createSuspectRequests({readNow: () => 1000, listEnded});
    recordEarly(suspects, BAD, ['a', 'b']);
    expect(suspects.judge(BAD)).toEqual('suspect');
  });

  it('look for a wave only where it decides', () => {
    // Guards against gates that walk all contents for each report that a peer
    // repeats.
    let looks = 0;
    const listEnded = () => {
      looks++;
      return new Map<string, number>();
    };
    const suspects = createSuspectRequests({readNow: () => 1000, listEnded});
    recordEarly(suspects, buildFingerprint('once'), ['x']);
    recordEarly(suspects, BAD, ['a']);
    suspects.merge(suspects.listAll());
    expect(looks).toEqual(0);
    recordEarly(suspects, BAD, ['b', 'c']);
    expect(looks).toEqual(1);
  });

  it('take the crashes of refused contents for explained', () => {
    // Guards against several such requests at once that hide each other.
    const {suspects} = openSuspects();
    const other = buildFingerprint('other');
    recordEarly(suspects, other, ['x', 'y']);
    expect(suspects.judge(other)).toEqual('refused');
    recordEarly(suspects, BAD, ['a', 'b']);
    expect(suspects.judge(BAD)).toEqual('refused');
  });

  it('run one request again after the refusal, and refuse at its first crash', () => {
    // Guards against a request that ends two servers after each refusal.
    const {suspects, clock} = openSuspects();
    recordEarly(suspects, BAD, ['a', 'b']);
    clock.now += DEFAULT_REFUSAL_MS;
    suspects.expire();
    expect(suspects.judge(BAD)).toEqual('suspect');
    recordEarly(suspects, BAD, ['c']);
    expect(suspects.judge(BAD)).toEqual('refused');
    expect(suspects.readRefusalLeftMs(BAD)).toEqual(DEFAULT_REFUSAL_MS);
  });

  it('end a refusal at the same time in a gate that hears of it late', () => {
    const {suspects, clock} = openSuspects();
    recordEarly(suspects, BAD, ['a', 'b']);
    const later = openSuspects();
    later.clock.now = 50_000;
    clock.now += 2000;
    later.suspects.merge(suspects.listAll());
    expect(later.suspects.readRefusalLeftMs(BAD)).toEqual(
      DEFAULT_REFUSAL_MS - 2000,
    );
    expect(later.suspects.hashRefused()).toEqual(suspects.hashRefused());
    expect(later.peerCrashes).toEqual(['a', 'b']);
    later.clock.now += DEFAULT_REFUSAL_MS;
    later.suspects.expire();
    // The clock of the first gate is a little behind.
    clock.now += DEFAULT_REFUSAL_MS - 2100;
    expect(suspects.judge(BAD)).toEqual('refused');
    later.suspects.merge(suspects.listAll());
    expect(later.suspects.judge(BAD)).toEqual('suspect');
  });

  it('forget a content one hour after its last crash', () => {
    const {suspects, clock} = openSuspects();
    recordEarly(suspects, BAD, ['a', 'b']);
    clock.now += HOUR_MS + 1;
    suspects.expire();
    expect(suspects.size).toEqual(0);
    expect(suspects.judge(BAD)).toEqual('free');
  });

  it('keep refused contents when many others crash servers once', () => {
    // Guards against memory without bound, and against a flood that makes the
    // gate forget a request that it refuses.
    const {suspects, clock} = openSuspects();
    recordEarly(suspects, BAD, ['a', 'b']);
    for (let i = 0; i < 5000; i++) {
      clock.now += 10;
      recordEarly(suspects, buildFingerprint(`flood ${i}`), [`t${i}`]);
    }
    expect(suspects.judge(BAD)).toEqual('refused');
    expect(suspects.size <= 1024).toEqual(true);
    expect(suspects.listAll()[0].content).toEqual(BAD.id);
    expect(JSON.stringify(suspects.listAll()).length < 32_000).toEqual(true);
  });

  it('repeat what this gate observed for three heartbeats', () => {
    // Guards against a crash whose only announcement was lost.
    const {suspects, clock, announced} = openSuspects();
    recordEarly(suspects, BAD, ['a']);
    expect(announced.length).toEqual(1);
    clock.now += 3000;
    expect(suspects.listRecent().map(({content}) => content)).toEqual([BAD.id]);
    clock.now += 1000;
    expect(suspects.listRecent()).toEqual([]);
  });

  it('notify requests that wait or run when their content is refused', () => {
    const {suspects} = openSuspects();
    const refused: string[] = [];
    const other = buildFingerprint('other');
    const stop = suspects.onRefusal(isRefused =>
      refused.push(...[BAD, other].filter(isRefused).map(({id}) => id)),
    );
    recordEarly(suspects, BAD, ['a', 'b']);
    stop();
    recordEarly(suspects, other, ['x', 'y']);
    expect(refused).toEqual([BAD.id]);
  });
});
