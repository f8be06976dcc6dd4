/** Checks that no answer looks whole unless it is a whole body of its target. */
import {
  STREAM_EVENTS,
  buildCallBody,
  buildEvent,
  buildLargeCallBody,
  countLongEvents,
} from '@nutmeggauge/platform';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/**
 * Checks that a success is signed and has the body that a target sends for the
 * request: all of it if the answer looks whole, else its beginning.
 *
 * An answer whose end only its connection marks looks whole when the connection is
 * closed. That excuses an answer cut by the kill of its gate, whose connections the
 * kernel closes.
 *
 * @param runs - Runs of the request.
 * @example
 * checkAnswer(history, record, runs).length; // 0
 */
export function checkAnswer(
  history: SoakHistory,
  record: CallerRecord,
  runs: readonly TargetRun[],
): readonly Violation[] {
  const {requestId, status, body, isWhole, hasGivenUp} = record;
  if (status !== 200) return [];
  const bodies = listBodies(record, runs);
  const isBeginning = bodies.some(expected => expected.startsWith(body));
  const isExpected = isWhole
    ? bodies.includes(body) || (isBeginning && isCutByKill(history, record))
    : isBeginning;
  // A caller that disconnected has received only the start of the body.
  if ((isExpected || hasGivenUp) && record.isSigned) return [];
  const lengths = bodies.map(expected => expected.length).join(' or ');
  const framing = record.isUnframed ? ', by close' : '';
  return [
    {
      promise: 'whole-answer',
      requestId,
      detail: `${isWhole ? 'whole' : 'cut'}${framing}, ${body.length} of ${lengths} bytes`,
    },
  ];
}

/** Lists the bodies that targets may have sent for the request. */
function listBodies(
  record: CallerRecord,
  runs: readonly TargetRun[],
): readonly string[] {
  const {kind, requestId} = record;
  if (kind !== 'safe' && kind !== 'unsafe') return [buildStreamBody(record)];
  const bodies = runs.map(({isLarge}) =>
    isLarge ? buildLargeCallBody(requestId) : buildCallBody(requestId),
  );
  return bodies.length > 0 ? bodies : [buildCallBody(requestId)];
}

function buildStreamBody({requestId, outputTokens}: CallerRecord): string {
  const events =
    outputTokens === undefined ? STREAM_EVENTS : countLongEvents(outputTokens);
  let text = '';
  for (let eventNumber = 1; eventNumber <= events; eventNumber++)
    text += buildEvent(requestId, eventNumber);
  return text;
}

/** Returns true if the record's gate was killed during an answer without framing. */
function isCutByKill(
  {outages}: SoakHistory,
  {gate, isUnframed, sentAt, endedAt}: CallerRecord,
): boolean {
  if (!isUnframed) return false;
  return outages.some(
    ({node, isStop, from}) =>
      node === `gate-${gate}` && !isStop && from >= sentAt && from <= endedAt,
  );
}
