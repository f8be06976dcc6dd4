import {existsSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {SettingsError} from '@nutmeggauge/core';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  CommandError,
  OutputFileError,
  UnknownRequestError,
} from '../cli/errors.js';
import {
  buildEnded,
  buildLine,
  buildPlaced,
  writeLog,
  writeTestFile,
} from '../test/gate-lines.js';
import {listActivity, pickPrompt} from './engine-activity.js';
import {readGateLogs} from './gate-lives.js';
import {runLosses} from './losses.js';
import {judgeRequests} from './summarize-losses.js';
import type {LossAnalysis} from './summarize-losses.js';

const OBJECTIVES = 'routes: {chat: {firstMs: 300, pauseMs: 250}}\n';

/** A long late prompt beside a longer one in time and a short late one. */
const DAY = [
  buildLine(0, 'gate_started'),
  buildPlaced(1000, 'short', {first: 'e3'}),
  buildPlaced(1010, 'good', {tokens: 300_000, first: 'e4'}),
  buildPlaced(1050, 'long', {tokens: 90_000, helpers: ['e2', 'e<3>']}),
  buildEnded(1800, 'short', {target: 'e3', ms: 800, firstMs: 500}),
  buildEnded(2000, 'good', {
    tokens: 300_000,
    target: 'e4',
    ms: 990,
    firstMs: 200,
  }),
  buildEnded(2900, 'long', {tokens: 90_000, ms: 1900, firstMs: 700}),
];

function findOutputs() {
  const dir = dirname(writeTestFile('marker', ''));
  return {json: join(dir, 'out.json'), html: join(dir, 'out.html')};
}

describe('nutmeggauge losses', () => {
  it('prints tables and writes the same as JSON and as a page', () => {
    const outputs = findOutputs();
    const text = runLosses({
      paths: [writeLog(DAY)],
      objectives: writeTestFile('objectives.yaml', OBJECTIVES),
      ...outputs,
    });
    expect(text).toInclude('| chat | stream | 32k-100k | 1 | 10.0 | 7.5 |');
    const analysis = JSON.parse(
      readFileSync(outputs.json, 'utf8'),
    ) as LossAnalysis;
    expect(analysis.lost).toEqual(8.625);
    const page = readFileSync(outputs.html, 'utf8');
    expect(page).toInclude('Request long at g1: 90000 tokens');
    expect(page).toInclude('<td>7.5</td>');
  });

  it('draws the largest late prompt, its parts marked', () => {
    // The one in time is larger; what is looked for is why one was late.
    const logs = readGateLogs([writeLog(DAY)]);
    const routes = {chat: {firstMs: 300}};
    const requests = judgeRequests(logs, {routes});
    const prompt = pickPrompt(requests);
    expect(prompt?.requestId).toEqual('long');
    if (prompt === undefined) return;
    const {engines, spans, from} = listActivity(requests, prompt);
    expect(engines).toEqual(['e1', 'e2', 'e<3>', 'e3', 'e4']);
    const marked = spans
      .filter(({isMarked}) => isMarked)
      .map(span => [span.engine, span.work, span.from - from, span.to - from]);
    // From its arrival, one second into the plot.
    expect(marked).toEqual([
      ['e1', 'reading', 1050, 1700],
      ['e2', 'reading', 1050, 1700],
      ['e<3>', 'reading', 1050, 1700],
      ['e1', 'writing', 1700, 2900],
    ]);
  });

  it('ends the reading of an engine that broke off', () => {
    const lines = [
      buildLine(0, 'gate_started'),
      buildPlaced(1000, 'q'),
      buildLine(1100, 'attempt_failed', {requestId: 'q', target: 'e1'}),
      buildPlaced(1110, 'q', {first: 'e2'}),
      buildEnded(2000, 'q', {target: 'e2', ms: 1000, firstMs: 500}),
    ];
    const requests = judgeRequests(readGateLogs([writeLog(lines)]), {
      routes: {},
    });
    const {spans, from} = listActivity(requests, requests[0]);
    expect(spans.map(span => [span.engine, span.work, span.to - from])).toEqual(
      [
        ['e1', 'reading', 1100],
        ['e2', 'reading', 1500],
        ['e2', 'writing', 2000],
      ],
    );
  });

  it('keeps names of callers and engines from the page’s markup', () => {
    // Callers choose the ids of requests: one of them held a script.
    const id = '<script>alert(1)</script>';
    const outputs = findOutputs();
    const lines = [
      buildLine(0, 'gate_started'),
      buildPlaced(10, id, {first: '<b>'}),
      buildEnded(900, id, {route: '<i>', target: '<b>'}),
    ];
    runLosses({paths: [writeLog(lines)], ...outputs});
    const page = readFileSync(outputs.html, 'utf8');
    expect(/<script|<b>|<i>/.test(page)).toEqual(false);
    expect(page).toInclude('&lt;i&gt;');
  });

  it('draws the asked request, and refuses one that nobody names', () => {
    const paths = [writeLog(DAY)];
    const outputs = findOutputs();
    runLosses({paths, ...outputs, request: 'short'});
    expect(readFileSync(outputs.html, 'utf8')).toInclude('Request short');
    const {html} = findOutputs();
    expect(() => runLosses({paths, html, request: 'nobody'})).toThrow(
      UnknownRequestError,
      'no line names the request nobody',
    );
    expect(existsSync(html)).toEqual(false);
  });

  it('names a bad file of objectives, and one that cannot be written', () => {
    const paths = [writeLog(DAY)];
    const objectives = writeTestFile('o.yaml', 'routes: {chat: {fristMs: 1}}');
    expect(() => runLosses({paths, objectives})).toThrow(
      SettingsError,
      'routes.chat',
    );
    expect(() => runLosses({paths, json: '/nowhere/x.json'})).toThrow(
      OutputFileError,
      'cannot be written',
    );
  });

  it('goes through a log that is cut anywhere', () => {
    // Hosts lose power while they write: a log may end at any byte, and one
    // that was rotated begins at any.
    const text = DAY.map(line => JSON.stringify(line)).join('\n');
    const {html} = findOutputs();
    for (let at = 0; at <= text.length; at += 7) {
      for (const part of [text.slice(0, at), text.slice(at)]) {
        const paths = [writeTestFile('cut.log', part)];
        checkTyped(() => runLosses({paths, html}));
      }
    }
  });

  it('believes no duration of 270,000 years', () => {
    // Found by the property below (seed 1330072621): the arrival lay before
    // every date, and its window could not be printed.
    const lines = [buildEnded(0, 'q', {outcome: 1, ms: -8640000000002000})];
    const text = runLosses({paths: [writeLog(lines)]});
    expect(text).toInclude('1 requests');
  });

  it('goes through lines whose fields are anything', () => {
    // Another version of a gate wrote other types: a typed failure or a
    // table, never a fault of the command.
    const events = ['gate_started', 'stream_placed', 'request_ended'];
    const line = fc.record({
      t: fc.oneof(fc.integer(), fc.double(), fc.constant('x')),
      proc: fc.constantFrom('g1', 'g2'),
      event: fc.constantFrom(...events, 'attempt_failed', 'request_refused'),
      requestId: fc.oneof(fc.constantFrom('q', 'r'), fc.jsonValue()),
      outcome: fc.oneof(fc.constantFrom('answered', 'timeout'), fc.jsonValue()),
      route: fc.jsonValue(),
      tokens: fc.oneof(fc.double(), fc.jsonValue()),
      first: fc.oneof(fc.string(), fc.jsonValue()),
      helpers: fc.jsonValue(),
      predictedFirstMs: fc.oneof(fc.double(), fc.jsonValue()),
      firstMs: fc.oneof(fc.double(), fc.jsonValue()),
      gapMs: fc.jsonValue(),
      ms: fc.oneof(fc.double(), fc.jsonValue()),
    });
    const {html} = findOutputs();
    const objectives = writeTestFile('o.yaml', 'others: {firstMs: 1}');
    fc.assert(
      fc.property(fc.array(line, {maxLength: 12}), lines => {
        const paths = [writeLog(lines)];
        checkTyped(() => runLosses({paths, html, objectives}));
      }),
      {numRuns: 300},
    );
  });
});

/** Lets failures through that the command line tells in one line. */
function checkTyped(run: () => void): void {
  try {
    run();
  } catch (error) {
    if (!(error instanceof CommandError)) throw error;
  }
}
