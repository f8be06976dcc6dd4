import {describe, it} from 'node:test';
import {expect} from 'earl';
import {formatEvents} from '../test/fake-target.js';
import {
  STREAM_BODY,
  buildCallBody,
  openEndingTargets,
} from '../test/ending-targets.js';
import type {
  EndingBody,
  EndingTargetOptions,
  EndingTargets,
  Ending,
} from '../test/ending-targets.js';
import type {WireAnswer} from '../test/wire-answer.js';
import type {WireCall} from '../test/wire-caller.js';

const MIB = 1024 * 1024;

/** Requests under way at once. */
const REQUESTS = 8;

/** Sizes below and above what is held of one answer, in bytes. */
const CALL_BYTES = [900, 20_000, 700_000, 3 * MIB];

/** Endings by which the bytes of an answer are not the server's body. */
const SPOILT: Readonly<Record<string, readonly Ending[]>> = {
  'a reset': ['reset', 'reset-after-all'],
  'a second answer': ['twice', 'other-late'],
};

const CALL_PATHS = ['/safe/x', '/unsafe/x'];

type Ask = Pick<WireCall, 'path' | 'method' | 'version'>;

/** Sends requests to targets that end all answers in the given ways. */
async function askTargets(
  options: EndingTargetOptions,
  ask: Partial<Ask>,
  prepare: (targets: EndingTargets) => void = () => undefined,
): Promise<readonly WireAnswer[]> {
  const targets = await openEndingTargets(options);
  try {
    prepare(targets);
    const path = options.service === 'chat' ? '/stream/x' : '/safe/x';
    return await targets.askAll(REQUESTS, {path, method: 'GET', ...ask});
  } finally {
    targets.close();
  }
}

/** Lets no answer hold more than a small one. */
function claimBudget({harness}: EndingTargets): void {
  const {heldBytes} = harness.gate['context'];
  heldBytes.claim(heldBytes.limitBytes - heldBytes.claimedBytes);
}

function countWhole(answers: readonly WireAnswer[]): number {
  return answers.filter(({isWhole, status}) => isWhole && (status ?? 0) < 500)
    .length;
}

/** Counts answers that are whole and have the given body. */
function countRight(answers: readonly WireAnswer[], body: string): number {
  return answers.filter(answer => answer.isWhole && answer.body === body)
    .length;
}

/** Bodies below and above what is held of one answer. */
const CALL_BODIES = CALL_BYTES.map(buildCallBody);

const LONG_STREAM: EndingBody = {
  ...STREAM_BODY,
  part: formatEvents(1, 400),
  whole: formatEvents(1, 800),
};

for (const [name, endings] of Object.entries(SPOILT)) {
  describe(`call whose answer without a length or chunks ends with ${name}`, () => {
    for (const version of ['1.0', '1.1'] as const)
      it(`doesn't look whole to callers of HTTP/${version} behind ${name}`, async () => {
        // Guards against a part, or two answers, that pass for the server's answer.
        for (const body of CALL_BODIES)
          for (const path of CALL_PATHS)
            for (const ending of endings) {
              const answers = await askTargets(
                {service: 'orders', body, endings: [ending]},
                {path, version},
              );
              expect(countWhole(answers)).toEqual(0);
            }
      });

    it(`doesn't look whole behind ${name} if the gate holds as much as it may`, async () => {
      // Guards against a small answer that is passed on as it arrives, like a large one.
      const body = buildCallBody(20_000);
      for (const ending of endings) {
        const answers = await askTargets(
          {service: 'orders', body, endings: [ending]},
          {},
          claimBudget,
        );
        expect(countWhole(answers)).toEqual(0);
      }
    });

    it(`is asked of another server behind ${name} if it may be repeated`, async () => {
      for (const body of CALL_BODIES.slice(0, -1))
        for (const ending of endings) {
          const answers = await askTargets(
            {service: 'orders', body, endings: [ending, 'close']},
            {},
          );
          expect(countRight(answers, body.whole)).toEqual(REQUESTS);
        }
    });

    it(`is no failure of the server to pass on behind ${name}`, async () => {
      // Guards against a spoilt failure that is kept and sent when no server is left.
      const body = buildCallBody(900);
      for (const path of CALL_PATHS)
        for (const ending of endings) {
          const answers = await askTargets(
            {service: 'orders', body, endings: [ending], status: '500 Failed'},
            {path},
          );
          for (const answer of answers) {
            const isServers = answer.body.includes('body of an answer');
            expect(answer.isWhole && isServers).toEqual(false);
          }
        }
    });
  });

  describe(`stream whose answer without a length or chunks ends with ${name}`, () => {
    it(`is no whole stream behind ${name}`, async () => {
      // Guards against a part, or two streams, that pass for the server's stream.
      for (const body of [STREAM_BODY, LONG_STREAM])
        for (const ending of endings) {
          const answers = await askTargets(
            {service: 'chat', body, endings: [ending]},
            {},
          );
          expect(countWhole(answers)).toEqual(0);
        }
    });

    it(`is resumed by another server behind ${name}`, async () => {
      for (const ending of endings) {
        const answers = await askTargets(
          {service: 'chat', body: STREAM_BODY, endings: [ending, 'close']},
          {},
        );
        expect(countRight(answers, STREAM_BODY.whole)).toEqual(REQUESTS);
      }
    });

    it(`is no error to pass on behind ${name}`, async () => {
      // Guards against a spoilt error that looks like the server's whole one.
      const body = buildCallBody(900);
      for (const ending of endings) {
        const answers = await askTargets(
          {service: 'chat', body, endings: [ending], status: '404 Not Found'},
          {},
        );
        expect(countWhole(answers)).toEqual(0);
      }
    });
  });
}

describe('answer without a length or chunks whose server closes the connection', () => {
  it('is a whole call behind all of its body', async () => {
    for (const body of CALL_BODIES) {
      const answers = await askTargets(
        {service: 'orders', body, endings: ['close']},
        {},
      );
      expect(countRight(answers, body.whole)).toEqual(REQUESTS);
    }
  });

  it('is a whole stream behind all of its events', async () => {
    for (const body of [STREAM_BODY, LONG_STREAM]) {
      const answers = await askTargets(
        {service: 'chat', body, endings: ['close']},
        {},
      );
      expect(countRight(answers, body.whole)).toEqual(REQUESTS);
    }
  });

  it('says no more of its end to callers than the server did', async () => {
    // Guards against a length or last chunk on bytes that the server may have cut.
    for (const body of CALL_BODIES) {
      const answers = await askTargets(
        {service: 'orders', body, endings: ['cut']},
        {},
      );
      for (const {status, isFramed} of answers)
        expect([status, isFramed]).toEqual([200, false]);
    }
  });

  it('says no more of its end if the gate holds as much as it may', async () => {
    const answers = await askTargets(
      {service: 'orders', body: buildCallBody(20_000), endings: ['cut']},
      {},
      claimBudget,
    );
    for (const {status, isFramed} of answers)
      expect([status, isFramed]).toEqual([200, false]);
  });

  it('is whole if its body quotes a head that names no request', async () => {
    // Guards against bodies that are taken for two answers because they quote one.
    const text =
      'log:\r\n\r\nHTTP/1.1 200 OK\r\nServer: x\r\n\r\nquoted HTTP/1.1 404 ';
    for (const whole of [text, text + 'a'.repeat(2 * MIB), `${text}HTTP/1.`]) {
      const answers = await askTargets(
        {
          service: 'orders',
          body: {fields: [], whole, part: ''},
          endings: ['close'],
        },
        {},
      );
      expect(countRight(answers, whole)).toEqual(REQUESTS);
    }
  });
});
