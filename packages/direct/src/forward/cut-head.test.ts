import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {CutBed, formatAnswer} from '../test/cut-bed.js';
import {
  FRAMED,
  UNFRAMED,
  INTERIM_CLOSING,
  FAILURE,
  NOT_RUN,
} from '../test/cut-forms.js';
import {formatEvents} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import type {Attempt, Case, End, Form} from '../test/cut-bed.js';

/** Streams under way at once: fewer than the engines have slots. */
const STREAM_CONCURRENCY = 32;

/** Number of events of a whole stream. */
const EVENT_COUNT = 3;

const SAMPLE_ID = 'c000000';

/** Lists the cuts of an answer, by the number of bytes that are sent. */
function listCuts(form: Form, end: End, body?: string): readonly number[] {
  const parts = formatAnswer(form, SAMPLE_ID, body);
  const isFramed = !Object.values(UNFRAMED).includes(form);
  const size =
    isFramed || end === 'RST'
      ? parts.head.length + parts.body.length
      : parts.head.length;
  return Array.from({length: size}, (_, i) => i);
}

const ENDS: readonly End[] = ['FIN', 'RST'];

/** Builds a case for each form and cut, with each end or with one of them. */
function buildCases(
  ends: 'each end' | 'ends in turn',
  forms: Readonly<Record<string, Form>>,
  build: (
    attempt: Required<Pick<Attempt, 'form' | 'cut' | 'end'>>,
  ) => Omit<Case, 'name'>,
  body?: string,
): readonly Case[] {
  return Object.entries(forms).flatMap(([name, form]) =>
    ENDS.flatMap(end =>
      listCuts(form, end, body)
        .filter(cut => ends === 'each end' || ENDS[cut % ENDS.length] === end)
        .map(cut => ({
          name: `${name}, ${end} after ${cut} bytes`,
          ...build({form, cut, end}),
        })),
    ),
  );
}

const ALL_FORMS = {...FRAMED, ...UNFRAMED};
const MAIN_FORMS = Object.fromEntries(
  ['a length', 'chunks', '103 before chunks', 'neither, closing'].map(
    name => [name, ALL_FORMS[name]] as const,
  ),
);

const buildEvents = (lastEventId: number) =>
  formatEvents(lastEventId + 1, EVENT_COUNT);
const EVENTS = buildEvents(0);
/** Sends its head and the first event of a stream. */
const BROKEN_STREAM: Attempt = {
  form: FRAMED.chunks,
  end: 'RST',
  cut: formatAnswer(FRAMED.chunks, SAMPLE_ID, EVENTS).head.length + 40,
  buildBody: buildEvents,
};

const CALLS: Readonly<Record<string, readonly Case[]>> = {
  'a call': buildCases(
    'each end',
    {...ALL_FORMS, 'an interim head that closes': INTERIM_CLOSING},
    attempt => ({
      call: {path: '/unsafe/x'},
      attempts: [attempt],
    }),
  ),
  'a call whose head and body come apart': buildCases(
    'ends in turn',
    MAIN_FORMS,
    attempt => ({
      call: {path: '/unsafe/x'},
      attempts: [{...attempt, isSplit: true}],
    }),
  ),
  'a call over HTTP/1.0': buildCases('ends in turn', MAIN_FORMS, attempt => ({
    call: {path: '/unsafe/x', version: '1.0'},
    attempts: [attempt],
  })),
  'a call on a kept connection': buildCases(
    'ends in turn',
    MAIN_FORMS,
    attempt => ({
      call: {path: '/unsafe/x'},
      attempts: [attempt],
      isKept: true,
    }),
  ),
  'both attempts at a call': buildCases(
    'ends in turn',
    MAIN_FORMS,
    attempt => ({
      call: {path: '/safe/x'},
      attempts: [attempt],
    }),
  ),
  'the second attempt after one that did not run': buildCases(
    'ends in turn',
    MAIN_FORMS,
    attempt => ({
      call: {path: '/unsafe2/x'},
      attempts: [{form: NOT_RUN, end: 'FIN'}, attempt],
    }),
  ),
  'the second attempt after a failure': buildCases(
    'ends in turn',
    MAIN_FORMS,
    attempt => ({
      call: {path: '/safe/x'},
      attempts: [{form: FAILURE, end: 'FIN'}, attempt],
    }),
  ),
};

const buildStream =
  (version: '1.0' | '1.1', first?: Attempt) =>
  (attempt: Pick<Attempt, 'form' | 'cut' | 'end'>) => ({
    call: {path: '/stream/x', version},
    attempts: [...(first === undefined ? [] : [first]), attempt].map(sent => ({
      ...sent,
      buildBody: buildEvents,
    })),
  });

const STREAMS: Readonly<Record<string, readonly Case[]>> = {
  'both attempts at a stream': buildCases(
    'ends in turn',
    MAIN_FORMS,
    buildStream('1.1'),
    EVENTS,
  ),
  'a resumed stream': buildCases(
    'ends in turn',
    MAIN_FORMS,
    buildStream('1.1', BROKEN_STREAM),
    formatEvents(2, EVENT_COUNT),
  ),
  'a resumed stream over HTTP/1.0': buildCases(
    'ends in turn',
    MAIN_FORMS,
    buildStream('1.0', BROKEN_STREAM),
    formatEvents(2, EVENT_COUNT),
  ),
};

describe('answer of a target that is cut', () => {
  let bed: CutBed;
  before(async () => {
    const harness = await openGateHarness({
      retryBounds: {ratio: 1, slack: 100_000, windowMs: 10_000},
    });
    bed = new CutBed(harness);
    await bed.start();
  });
  after(() => bed.close());

  for (const [name, cases] of Object.entries({...CALLS, ...STREAMS})) {
    const concurrency = name.includes('stream')
      ? STREAM_CONCURRENCY
      : undefined;
    it(`never looks whole in ${name}`, async () => {
      // Guards against a part of an answer that a caller takes for a whole one.
      const {wrong, unsent} = await bed.run(cases, concurrency);
      expect({wrong, unsent}).toEqual({wrong: [], unsent: []});
    });
  }

  it('is whole if nothing is cut', async () => {
    // Guards against cases that show nothing because none is ever whole.
    const calls = Object.entries(ALL_FORMS).map(([name, form]) => ({
      name,
      call: {path: '/unsafe/x'},
      attempts: [{form, end: 'FIN'}] as const,
    }));
    const tally = await bed.run(calls);
    const names = tally.whole.map(([name]) => name).sort();
    expect(names).toEqual(Object.keys(ALL_FORMS).sort());
    const streams = Object.entries(MAIN_FORMS).map(([name, form]) => ({
      name,
      ...buildStream('1.1', BROKEN_STREAM)({form, end: 'FIN'}),
    }));
    const {whole} = await bed.run(streams, STREAM_CONCURRENCY);
    expect(whole.map(([, {body}]) => body)).toEqual(streams.map(() => EVENTS));
  });
});
