/**
 * Compact datagrams about placements, which are most of what gates send: JSON
 * arrays that begin with a code, without the names of the fields.
 */
import {z} from 'zod';
import {
  MAX_TOLD_MS,
  MAX_TOLD_TOKENS,
  MsSchema,
  TokensSchema,
} from './messages.js';
import type {WirePlacement} from './messages.js';

/** A change of a placement that a gate announces. */
export type PlacementMessage =
  | {readonly method: 'placed'; readonly params: WirePlacement}
  | {readonly method: 'begun'; readonly params: {readonly key: string}}
  | {readonly method: 'ended'; readonly params: {readonly key: string}};

const PLACED = 'p';
const BEGUN = 'b';
const ENDED = 'e';

/** First byte of a compact datagram; JSON-RPC messages begin with a brace. */
const FIRST_BYTE = '['.charCodeAt(0);

const KeySchema = z.string();

/** Fields of a placement in their order; features of suspects follow them. */
const PlacedSchema = z
  .tuple([
    z.literal(PLACED),
    KeySchema,
    z.string().describe('decoder'),
    // Empty if the decoding engine prefills the whole prompt.
    z.array(z.string()).describe('targets'),
    z.array(MsSchema).describe('prefillMs'),
    TokensSchema.describe('promptTokens'),
    TokensSchema.describe('kvTokens'),
    z.array(z.tuple([z.string(), TokensSchema])).describe('reserved'),
    MsSchema.describe('objectiveMs'),
    MsSchema.describe('gapMs'),
    MsSchema.describe('value'),
    MsSchema.describe('predictedMs'),
    MsSchema.describe('ageMs'),
  ])
  .rest(z.string());

const BegunSchema = z.tuple([z.literal(BEGUN), KeySchema]);
const EndedSchema = z.tuple([z.literal(ENDED), KeySchema]);

type PlacedFields = z.output<typeof PlacedSchema>;

/** Number of fields of a placement without features of suspects. */
const PLACED_LENGTH = 13;

/** Index of the first of the numbers that end a placement. */
const FIRST_LAST_NUMBER = 8;

function isMs(value: unknown): value is number {
  return typeof value === 'number' && Math.abs(value) <= MAX_TOLD_MS;
}

function isTokens(value: unknown): value is number {
  return typeof value === 'number' && Math.abs(value) <= MAX_TOLD_TOKENS;
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isListOf<T>(
  value: unknown,
  isItem: (item: unknown) => item is T,
): value is T[] {
  return Array.isArray(value) && value.every(isItem);
}

function isReservation(value: unknown): value is [string, number] {
  return (
    Array.isArray(value) &&
    value.length === 2 &&
    isText(value[0]) &&
    isTokens(value[1])
  );
}

/**
 * Checks the fields of a placement like {@link PlacedSchema}. The schema takes
 * several times as long, and a gate reads hundreds of placements a second.
 */
function isPlaced(fields: readonly unknown[]): boolean {
  const [, key, decoder, targets, prefillMs, tokens, kvTokens, reserved] =
    fields;
  return (
    fields.length >= PLACED_LENGTH &&
    isText(key) &&
    isText(decoder) &&
    isListOf(targets, isText) &&
    isListOf(prefillMs, isMs) &&
    isTokens(tokens) &&
    isTokens(kvTokens) &&
    isListOf(reserved, isReservation) &&
    fields.slice(FIRST_LAST_NUMBER, PLACED_LENGTH).every(isMs) &&
    fields.slice(PLACED_LENGTH).every(isText)
  );
}

/** Returns the fields of a placement; the schema names what is malformed. */
function readPlaced(fields: unknown[]): PlacedFields {
  return isPlaced(fields)
    ? (fields as PlacedFields)
    : PlacedSchema.parse(fields);
}

/** Returns the key of a stream that has begun or ended. */
function readKey(
  fields: readonly unknown[],
  code: typeof BEGUN | typeof ENDED,
): string {
  const [first, key] = fields;
  if (first === code && fields.length === 2 && isText(key)) return key;
  const schema = code === BEGUN ? BegunSchema : EndedSchema;
  return schema.parse(fields)[1];
}

function formatPlacement(wire: WirePlacement): z.input<typeof PlacedSchema> {
  const isWhole = wire.targets.length === 1 && wire.targets[0] === wire.decoder;
  return [
    PLACED,
    wire.key,
    wire.decoder,
    isWhole ? [] : wire.targets,
    wire.prefillMs,
    wire.promptTokens,
    wire.kvTokens,
    wire.reserved.map(({target, tokens}) => [target, tokens]),
    wire.objectiveMs,
    wire.gapMs,
    wire.value,
    wire.predictedMs,
    wire.ageMs,
    ...(wire.suspects ?? []),
  ];
}

function decodePlacement(message: unknown[]): WirePlacement {
  const [
    ,
    key,
    decoder,
    targets,
    prefillMs,
    promptTokens,
    kvTokens,
    reserved,
    objectiveMs,
    gapMs,
    value,
    predictedMs,
    ageMs,
    ...suspects
  ] = readPlaced(message);
  return {
    key,
    decoder,
    targets: targets.length === 0 ? [decoder] : targets,
    prefillMs,
    promptTokens,
    kvTokens,
    reserved: reserved.map(([target, tokens]) => ({target, tokens})),
    objectiveMs,
    gapMs,
    value,
    predictedMs,
    ageMs,
    begun: false,
    suspects: suspects.length > 0 ? suspects : undefined,
  };
}

/**
 * Encodes an announcement about a placement.
 *
 * @example
 * formatPlacementMessage({method: 'ended', params: {key: 'a/1#7'}});
 */
export function formatPlacementMessage(message: PlacementMessage): Buffer {
  const fields =
    message.method === 'placed'
      ? formatPlacement(message.params)
      : [message.method === 'begun' ? BEGUN : ENDED, message.params.key];
  return Buffer.from(JSON.stringify(fields));
}

/** Returns whether a datagram is an announcement about a placement. */
export function isPlacementMessage(bytes: Buffer): boolean {
  return bytes[0] === FIRST_BYTE;
}

/**
 * Decodes an announcement about a placement.
 *
 * @throws SyntaxError or ZodError if it is malformed.
 * @example
 * decodePlacementMessage(bytes).method;
 */
export function decodePlacementMessage(bytes: Buffer): PlacementMessage {
  const fields = JSON.parse(bytes.toString('utf8')) as unknown[];
  if (fields[0] === PLACED)
    return {method: 'placed', params: decodePlacement(fields)};
  if (fields[0] === BEGUN)
    return {method: 'begun', params: {key: readKey(fields, BEGUN)}};
  return {method: 'ended', params: {key: readKey(fields, ENDED)}};
}
