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
  buildRequestEndedLine,
  buildLogLine,
  buildStreamPlacedLine,
  writeLog,
  writeTestFile,
} from '../test/gate-lines.js';
import {listActivity, pickPrompt} from './engine-activity.js';
import {readGateLogs} from './gate-incarnations.js';
import {runLosses} from './losses.js';
import {judgeRequests} from './summarize-losses.js';
import type {LossAnalysis} from './summarize-losses.js';

const OBJECTIVES = 'routes: {chat: {ttftMs: 300, itlMs: 250}}\n';

/**
 * Log of a long late prompt, served at the same time as a longer prompt in time
 * and a short late one.
 */
const LOG_LINES = [
  buildLogLine(0, 'gate_started'),
  buildStreamPlacedLine(1000, 'short', {decoder: 'e3'}),
  buildStreamPlacedLine(1010, 'good', {tokens: 300_000, decoder: 'e4'}),
  buildStreamPlacedLine(1050, 'long', {
    tokens: 90_000,
    helpers: ['e2', 'e<3>'],
  }),
  buildRequestEndedLine(1800, 'short', {target: 'e3', ms: 800, ttftMs: 500}),
  buildRequestEndedLine(2000, 'good', {
    tokens: 300_000,
    target: 'e4',
    ms: 990,
    ttftMs: 200,
  }),
  buildRequestEndedLine(2900, 'long', {tokens: 90_000, ms: 1900, ttftMs: 700}),
];

function createOutputPaths() {
  const dir = dirname(writeTestFile('marker', ''));
  return {json: join(dir, 'out.json'), html: join(dir, 'out.html')};
}

describe('nutmeggauge losses', () => {
  it('prints the tables and writes the same analysis as JSON and as an HTML page', () => {
    const outputs = createOutputPaths();
    const text = runLosses({
      paths: [writeLog(LOG_LINES)],
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

  it('plots the largest late prompt and marks the spans of its engines as selected', () => {
    // Guards against plotting the largest prompt although its answer was in
    // time.
    const logs = readGateLogs([writeLog(LOG_LINES)]);
    const routes = {chat: {ttftMs: 300}};
    const requests = judgeRequests(logs, {routes});
    const prompt = pickPrompt(requests);
    expect(prompt?.requestId).toEqual('long');
    if (prompt === undefined) return;
    const {engines, spans, from} = listActivity(requests, prompt);
    expect(engines).toEqual(['e1', 'e2', 'e<3>', 'e3', 'e4']);
    const selectedSpans = spans
      .filter(({isSelected}) => isSelected)
      .map(span => [span.engine, span.phase, span.from - from, span.to - from]);
    // The plot begins one second before the arrival of the prompt.
    expect(selectedSpans).toEqual([
      ['e1', 'prefill', 1050, 1700],
      ['e2', 'prefill', 1050, 1700],
      ['e<3>', 'prefill', 1050, 1700],
      ['e1', 'decode', 1700, 2900],
    ]);
  });

  it('ends the prefill span of an engine when its attempt fails', () => {
    const lines = [
      buildLogLine(0, 'gate_started'),
      buildStreamPlacedLine(1000, 'q'),
      buildLogLine(1100, 'attempt_failed', {requestId: 'q', target: 'e1'}),
      buildStreamPlacedLine(1110, 'q', {decoder: 'e2'}),
      buildRequestEndedLine(2000, 'q', {target: 'e2', ms: 1000, ttftMs: 500}),
    ];
    const requests = judgeRequests(readGateLogs([writeLog(lines)]), {
      routes: {},
    });
    const {spans, from} = listActivity(requests, requests[0]);
    expect(
      spans.map(span => [span.engine, span.phase, span.to - from]),
    ).toEqual([
      ['e1', 'prefill', 1100],
      ['e2', 'prefill', 1500],
      ['e2', 'decode', 2000],
    ]);
  });

  it('escapes request ids, routes and engine names in the HTML page', () => {
    // Guards against script injection by a request id.
    const id = '<script>alert(1)</script>';
    const outputs = createOutputPaths();
    const lines = [
      buildLogLine(0, 'gate_started'),
      buildStreamPlacedLine(10, id, {decoder: '<b>'}),
      buildRequestEndedLine(900, id, {route: '<i>', target: '<b>'}),
    ];
    runLosses({paths: [writeLog(lines)], ...outputs});
    const page = readFileSync(outputs.html, 'utf8');
    expect(/<script|<b>|<i>/.test(page)).toEqual(false);
    expect(page).toInclude('&lt;i&gt;');
  });

  it('plots the requested request, and throws UnknownRequestError when no line has its id', () => {
    const paths = [writeLog(LOG_LINES)];
    const outputs = createOutputPaths();
    runLosses({paths, ...outputs, request: 'short'});
    expect(readFileSync(outputs.html, 'utf8')).toInclude('Request short');
    const {html} = createOutputPaths();
    expect(() => runLosses({paths, html, request: 'nobody'})).toThrow(
      UnknownRequestError,
      'no log line has the request id nobody',
    );
    expect(existsSync(html)).toEqual(false);
  });

  it('throws SettingsError for an invalid objective, and OutputFileError when a file cannot be written', () => {
    const paths = [writeLog(LOG_LINES)];
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

  it('throws only command errors for a log that is cut at any position', () => {
    // Guards against an untyped error for a log that begins or ends in the
    // middle of a line.
    const text = LOG_LINES.map(line => JSON.stringify(line)).join('\n');
    const {html} = createOutputPaths();
    for (let at = 0; at <= text.length; at += 7) {
      for (const part of [text.slice(0, at), text.slice(at)]) {
        const paths = [writeTestFile('cut.log', part)];
        runIgnoringCommandErrors(() => runLosses({paths, html}));
      }
    }
  });

  it('ignores a logged duration of 270,000 years', () => {
    // Guards against an arrival time that cannot be formatted as a date.
    const lines = [
      buildRequestEndedLine(0, 'q', {outcome: 1, ms: -8640000000002000}),
    ];
    const text = runLosses({paths: [writeLog(lines)]});
    expect(text).toInclude('1 requests');
  });

  it('throws only command errors for lines whose fields have arbitrary values', () => {
    // Guards against an untyped error for a log of another version.
    const events = ['gate_started', 'stream_placed', 'request_ended'];
    const line = fc.record({
      t: fc.oneof(fc.integer(), fc.double(), fc.constant('x')),
      proc: fc.constantFrom('g1', 'g2'),
      event: fc.constantFrom(...events, 'attempt_failed', 'request_refused'),
      requestId: fc.oneof(fc.constantFrom('q', 'r'), fc.jsonValue()),
      outcome: fc.oneof(fc.constantFrom('answered', 'timeout'), fc.jsonValue()),
      route: fc.jsonValue(),
      tokens: fc.oneof(fc.double(), fc.jsonValue()),
      decoder: fc.oneof(fc.string(), fc.jsonValue()),
      helpers: fc.jsonValue(),
      predictedTtftMs: fc.oneof(fc.double(), fc.jsonValue()),
      ttftMs: fc.oneof(fc.double(), fc.jsonValue()),
      maxItlMs: fc.jsonValue(),
      ms: fc.oneof(fc.double(), fc.jsonValue()),
    });
    const {html} = createOutputPaths();
    const objectives = writeTestFile('o.yaml', 'others: {ttftMs: 1}');
    fc.assert(
      fc.property(fc.array(line, {maxLength: 12}), lines => {
        const paths = [writeLog(lines)];
        runIgnoringCommandErrors(() => runLosses({paths, html, objectives}));
      }),
      {numRuns: 300},
    );
  });
});

/**
 * Runs a function and ignores errors that the command line reports in one line.
 */
function runIgnoringCommandErrors(run: () => void): void {
  try {
    run();
  } catch (error) {
    if (!(error instanceof CommandError)) throw error;
  }
}
