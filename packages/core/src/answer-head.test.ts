import {describe, it} from 'node:test';
import {expect} from 'earl';
import {isAnsweredAgain} from './answer-head.js';

const HEADS = [
  'HTTP/1.1 503 Too busy\r\nX-A: 1\r\n\r\n',
  'HTTP/1.0 200\nX-A: 1\n\n',
];
const TEXT = 'HTTP/1.1 200 OK\r\n\r\n';

/** Bodies and events that are sound. */
const SOUND = [
  '',
  '{}',
  JSON.stringify(TEXT),
  `{"a": ${JSON.stringify(TEXT)},\r\n"b":\r\n["HTTP/1.0 200"\r\n]}\r\n`,
  `{\n  "a": ${JSON.stringify(TEXT)},\n  "b": "HTTP/1.0 200"\n}\n`,
  `event: token\r\ndata: ${JSON.stringify({text: TEXT})}\r\n\r\n`,
];

/** Longest text that is searched, in characters. */
const MAX_LENGTH = 16 * 1024 * 1024;

describe('second answer in a body', () => {
  for (const body of SOUND)
    it(`is not found in ${JSON.stringify(body)}`, () => {
      // Guards against a sound body that is refused.
      expect(isAnsweredAgain(body)).toEqual(false);
    });

  it('is found behind each part of a body', () => {
    // Guards against two answers that are read as one.
    for (const head of HEADS)
      for (const body of SOUND)
        for (let i = 0; i <= body.length; i++)
          expect(isAnsweredAgain(body.slice(0, i) + head)).toEqual(true);
  });

  it('is searched for in linear time', () => {
    // Guards against a body that stops the process for hours.
    const text = 'HTTP/1.1 200 ';
    const body = text.repeat(MAX_LENGTH / text.length);
    expect(isAnsweredAgain(body)).toEqual(false);
  });
});
