/** Header dialect for tests, independent of any adapter. */
import {stripHopByHop} from '../forward/caller-response.js';
import {HeaderDialect} from '../ports.js';
import type {
  AnswerMetadata,
  ForwardMetadata,
  RawHeaders,
  RequestMetadata,
} from '../types.js';

type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Caller's fields that targets don't get. */
const NOT_FORWARDED_FIELDS: ReadonlySet<string> = new Set([
  'x-test-key',
  'content-length',
]);

function readNumber(value: string | string[] | undefined): number | undefined {
  return value === undefined ? undefined : Number(value);
}

function readList(value: string | string[] | undefined): readonly string[] {
  return value === undefined ? [] : String(value).split(',');
}

function readSeconds(
  value: string | string[] | undefined,
): number | 'malformed' | undefined {
  if (value === undefined) return undefined;
  return /^\d+(\.\d+)?$/.test(String(value))
    ? Number(value) * 1000
    : 'malformed';
}

function readFlag(value: string | string[] | undefined): boolean | 'malformed' {
  if (value === undefined || value === '0') return false;
  return value === '1' || 'malformed';
}

/** Reads the fields `x-other-…`, which this dialect doesn't know. */
function readUnknownFields(
  headers: ParsedHeaders,
): ReadonlyMap<string, string> {
  return new Map(
    Object.entries(headers).flatMap(([name, value]) =>
      name.startsWith('x-other-') ? [[name, String(value)] as const] : [],
    ),
  );
}

/**
 * Dialect whose header names begin with `x-test-`.
 *
 * @example
 * createDirectGate(settings, {dialect: new TestDialect(), …});
 */
export class TestDialect extends HeaderDialect {
  override readonly readyPath = '/ready';

  override parseRequest(headers: ParsedHeaders): RequestMetadata {
    return {
      requestId: headers['x-test-id'] as string | undefined,
      deadlineMs: readNumber(headers['x-test-deadline']),
      apiKey: headers['x-test-key'] as string | undefined,
      promptTokens: readNumber(headers['x-test-tokens']),
      maxOutputTokens: readNumber(headers['x-test-output']) ?? 100,
      sharedParts: readList(headers['x-test-parts']).slice(0, -1),
    };
  }

  override buildForTarget(
    callerHeaders: RawHeaders,
    metadata: ForwardMetadata,
  ): string[] {
    const headers = stripHopByHop(callerHeaders).filter(
      (_, i, headerFields) =>
        !NOT_FORWARDED_FIELDS.has(headerFields[i - (i % 2)].toLowerCase()),
    );
    headers.push('x-test-target', metadata.target.id);
    headers.push('x-test-left', String(metadata.deadlineLeftMs));
    if (metadata.account !== undefined)
      headers.push('x-test-account', metadata.account);
    if (metadata.priority !== undefined)
      headers.push('x-test-priority', String(metadata.priority));
    if (metadata.lastEventId !== undefined)
      headers.push('x-test-after', metadata.lastEventId);
    headers.push('Connection', 'close');
    return headers;
  }

  override parseAnswer(headers: ParsedHeaders): AnswerMetadata {
    return {
      requestId: headers['x-test-id'] as string | undefined,
      isSigned: headers['x-test-signature'] !== undefined,
      isNotRun: headers['x-test-not-run'] !== undefined,
      requestsPerSecond: readNumber(headers['x-test-limit']),
      restMs: readSeconds(headers['x-test-rest']),
      isLeaving: readFlag(headers['x-test-leaving']),
      coldLeftMs: readNumber(headers['x-test-cold']),
      unknownFields: readUnknownFields(headers),
      faultyAddress: headers['x-test-fault'] as string | undefined,
    };
  }
}
