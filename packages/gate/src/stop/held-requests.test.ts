import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HeldRequests} from './held-requests.js';
import type {ServerResponse} from 'node:http';

/** Creates a response in a given state, which emits `close` on request. */
function createResponse(state: {
  readonly headersSent?: boolean;
  readonly writableEnded?: boolean;
}): ServerResponse {
  return Object.assign(new EventEmitter(), {
    headersSent: false,
    writableEnded: false,
    writableFinished: true,
    ...state,
  }) as unknown as ServerResponse;
}

/** Creates requests whose stop ends in 1 s, with the lines that they log. */
function createRequests() {
  const lines: Array<Readonly<Record<string, unknown>>> = [];
  const requests = new HeldRequests({
    info: (event, fields) => lines.push({event, ...fields}),
  });
  const beginStop = () => requests.beginStop(Date.now() + 1000);
  return {requests, lines, beginStop};
}

describe('HeldRequests', () => {
  it('leaves an answer alone that only its caller has yet to read', () => {
    // Guards against a whole answer that a stop ends before it must.
    const {requests, beginStop} = createRequests();
    const res = createResponse({headersSent: true, writableEnded: true});
    const held = requests.add('r1', res);
    beginStop();
    requests.handBackAll();
    requests.endAll(0);
    expect([held.handedBack.aborted, held.cut.aborted]).toEqual([false, false]);
  });

  it('ends a begun stream only with the gate', () => {
    // Guards against a stream that is cut earlier than it must.
    const {requests, beginStop} = createRequests();
    const held = requests.add('r1', createResponse({headersSent: true}));
    held.setPrediction(() => Date.now() + 60_000);
    beginStop();
    requests.handBackAll();
    expect(held.handedBack.aborted).toEqual(false);
    requests.endAll(0);
    expect(held.cut.aborted).toEqual(true);
  });

  it('judges requests by their predicted end once the stop has begun', () => {
    // Guards against a prediction that refuses requests without a stop.
    const {requests, beginStop} = createRequests();
    const late = requests.add('r1', createResponse({}));
    late.setPrediction(() => Date.now() + 60_000);
    const early = requests.add('r2', createResponse({}));
    early.setPrediction(() => Date.now() + 10);
    requests.judge(late);
    expect(late.handedBack.aborted).toEqual(false);
    beginStop();
    expect(late.handedBack.aborted).toEqual(true);
    expect(early.handedBack.aborted).toEqual(false);
  });

  it('logs what a stop does with each request and where it waits', () => {
    // Guards against requests that end at a stop without a trace.
    const {requests, lines, beginStop} = createRequests();
    const responses = [1, 2, 3, 4, 5].map(() => createResponse({}));
    const [finished, refused, unknown, halfRead, cut] = responses.map(
      (res, i) => requests.add(`r${i + 1}`, res),
    );
    finished.setPlace('agent');
    unknown.setPlace('agent');
    refused.setPlace('gate');
    refused.setPrediction(() => Date.now() + 60_000);
    Object.assign(responses[4], {headersSent: true});
    beginStop();
    refused.endedAs = 'refused';
    answer(responses[1]);
    answer(responses[0]);
    requests.handBackAll();
    halfRead.endedAs = 'refused';
    Object.assign(responses[3], {headersSent: true, writableFinished: false});
    requests.endAll(0);
    unknown.endedAs = 'cut';
    answer(responses[2]);
    requests.recordCut();
    expect(cut.cut.aborted).toEqual(true);
    expect(
      lines.map(({requestId, action, place}) => [requestId, action, place]),
    ).toEqual([
      ['r1', 'kept', 'agent'],
      ['r3', 'kept', 'agent'],
      ['r4', 'kept', 'body'],
      ['r5', 'kept', 'stream'],
      ['r2', 'refused', 'gate'],
      ['r1', 'finished', 'caller'],
      ['r3', 'cut', 'agent'],
      ['r4', 'refused', 'body'],
      ['r5', 'cut', 'stream'],
    ]);
    expect(lines.every(line => line.event === 'request_at_stop')).toEqual(true);
  });
});

/** Ends a response completely. */
function answer(res: ServerResponse): void {
  Object.assign(res, {headersSent: true, writableEnded: true});
  res.emit('close');
}
