import {describe, it} from 'node:test';
import {expect} from 'earl';
import {InputFileError} from '../cli/errors.js';
import {
  buildRequestEndedLine,
  buildLogLine,
  LOG_START_MS,
  writeLog,
} from '../test/gate-lines.js';
import {readGateLogs} from './gate-incarnations.js';

const GATE_STARTED_LINE = buildLogLine(0, 'gate_started');
const PROGRAM_STARTING_LINE = {level: 'info', event: 'program_starting'};

function readLog(lines: Parameters<typeof writeLog>[0]) {
  return readGateLogs([writeLog(lines)]);
}

/**
 * Summarizes each incarnation, with `from` in ms after the start of the log.
 */
function describeIncarnations(logs: ReturnType<typeof readGateLogs>) {
  return logs.incarnations.map(({proc, lines, servesFrom, hasSuccessor}) => ({
    proc,
    events: lines.map(({event}) => event),
    from: servesFrom === undefined ? undefined : servesFrom - LOG_START_MS,
    hasSuccessor,
  }));
}

describe('reading gate logs', () => {
  it('ignores and counts truncated lines and lines of other programs', () => {
    // Guards against counting lines of other programs, or truncated ones, as
    // lines of a gate.
    const logs = readLog([
      GATE_STARTED_LINE,
      'Error: boom { at x }',
      '    at file.js:1',
      '{"t": "late", "proc": "g1", "event": "request_ended"}',
      '{"level":"info","msg":"an engine"}',
      '[1, 2]',
      buildRequestEndedLine(500, 'q'),
      JSON.stringify(buildRequestEndedLine(900, 'r')).slice(0, 40),
    ]);
    expect(logs.incarnations[0].lines.map(({event}) => event)).toEqual([
      'gate_started',
      'request_ended',
    ]);
    expect(logs.malformedLines).toEqual(2);
    expect(logs.foreignLines).toEqual(2);
  });

  it('counts a line as foreign when no date can represent its timestamp', () => {
    // Guards against a corrupt timestamp that cannot be formatted as a date.
    const logs = readLog([GATE_STARTED_LINE, {...GATE_STARTED_LINE, t: 9e15}]);
    expect(logs.foreignLines).toEqual(1);
  });

  it('attributes program_starting to the gate on the host that the collector prefix names', () => {
    // Guards against attributing the first line of a process to the gate of
    // another host.
    const formatWithHost = (host: string, line: object) =>
      `  12.3456 ${host} ${JSON.stringify(line)}`;
    const startedG2 = {...GATE_STARTED_LINE, proc: 'g2'};
    const logs = readLog([
      formatWithHost('h1', GATE_STARTED_LINE),
      formatWithHost('h2', startedG2),
      formatWithHost('h1', PROGRAM_STARTING_LINE),
      formatWithHost('h2', {
        ...startedG2,
        t: LOG_START_MS + 10,
        event: 'config_applied',
      }),
      formatWithHost('h1', {...GATE_STARTED_LINE, t: LOG_START_MS + 900}),
    ]);
    expect(describeIncarnations(logs)).toEqual([
      {proc: 'g1', events: ['gate_started'], from: 0, hasSuccessor: true},
      {proc: 'g1', events: ['gate_started'], from: 900, hasSuccessor: false},
      {
        proc: 'g2',
        events: ['gate_started', 'config_applied'],
        from: 0,
        hasSuccessor: false,
      },
    ]);
  });

  it('begins an incarnation at the first line after program_starting, not at gate_started', () => {
    // Guards against splitting an incarnation at `gate_started`, although lines
    // such as `config_applied` precede it.
    const logs = readLog([
      PROGRAM_STARTING_LINE,
      GATE_STARTED_LINE,
      PROGRAM_STARTING_LINE,
      buildLogLine(890, 'config_applied'),
      buildLogLine(900, 'gate_started'),
    ]);
    expect(describeIncarnations(logs)).toEqual([
      {proc: 'g1', events: ['gate_started'], from: 0, hasSuccessor: true},
      {
        proc: 'g1',
        events: ['config_applied', 'gate_started'],
        from: 900,
        hasSuccessor: false,
      },
    ]);
  });

  it('ignores program_starting without a prefix in a file with lines of several gates', () => {
    // Guards against attributing `program_starting`, which names no process, to
    // an arbitrary gate of the file.
    const logs = readLog([
      GATE_STARTED_LINE,
      {...GATE_STARTED_LINE, proc: 'g2'},
      PROGRAM_STARTING_LINE,
      buildLogLine(5, 'config_applied'),
      buildLogLine(900, 'gate_started'),
    ]);
    expect(describeIncarnations(logs).map(({from}) => from)).toEqual([
      0, 900, 0,
    ]);
  });

  it('keeps the order of the file when a clock is set back, and counts the clock step', () => {
    // Guards against reordering lines by timestamp when a host's clock is set
    // back.
    const logs = readLog([
      GATE_STARTED_LINE,
      buildLogLine(70_000, 'config_applied'),
      buildRequestEndedLine(10_000, 'q'),
    ]);
    expect(logs.incarnations[0].lines.map(({t}) => t - LOG_START_MS)).toEqual([
      0, 70_000, 10_000,
    ]);
    expect(logs.clockSteps).toEqual({g1: 1});
  });

  it('keeps a line that two files contain only once, and counts it as repeated', () => {
    // Guards against counting requests twice when the same logs are given
    // twice.
    const lines = [GATE_STARTED_LINE, buildRequestEndedLine(500, 'q')];
    const logs = readGateLogs([writeLog(lines), writeLog(lines)]);
    expect(logs.incarnations.length).toEqual(1);
    expect(logs.incarnations[0].lines.length).toEqual(2);
    expect(logs.repeatedLines).toEqual(2);
  });

  it('keeps equal lines of one file as separate events', () => {
    // Two requests without an id can be refused in the same ms.
    const refused = buildLogLine(7, 'request_refused', {reason: 'stopping'});
    const logs = readLog([GATE_STARTED_LINE, refused, refused]);
    expect(logs.incarnations[0].lines.length).toEqual(3);
    expect(logs.repeatedLines).toEqual(0);
  });

  it('orders the files of one gate by their first timestamps', () => {
    // Guards against reading a rotated log after a newer one because of its
    // file name.
    const older = writeLog([
      GATE_STARTED_LINE,
      buildRequestEndedLine(500, 'q'),
    ]);
    const newer = writeLog([
      buildLogLine(900, 'gate_started'),
      buildRequestEndedLine(1500, 'r'),
    ]);
    const logs = readGateLogs([newer, older]);
    expect(describeIncarnations(logs).map(({from}) => from)).toEqual([0, 900]);
    expect(logs.clockSteps).toEqual({});
  });

  it('throws InputFileError when no file is given, a file cannot be read, or no line was written by a gate', () => {
    // Guards against an empty report when the wrong folder is given.
    expect(() => readGateLogs([])).toThrow(InputFileError, 'no log file named');
    expect(() => readGateLogs(['/nowhere/all.log'])).toThrow(
      InputFileError,
      'cannot be read',
    );
    for (const text of ['', 'no json', '{"t":1,"proc":"e","event":"x"}'])
      expect(() => readLog([text])).toThrow(
        InputFileError,
        'no line of a gate',
      );
  });
});
