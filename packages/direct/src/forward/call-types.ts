/** Answers to calls. */
import type {HeldBytes} from '../buffers/held-bytes.js';
import type {ExchangeError} from '../errors.js';
import type {ResponseFraming} from './caller-response.js';
import type {ResponseHead} from './exchange.js';

/** Answer of which a part has been read. */
export interface LargeAnswer {
  readonly head: ResponseHead;
  /** Begin of the body. */
  readonly held: HeldBytes;
  /** Part of the body after what is held. */
  readonly nextPart: Buffer;
  /** The rest of the body. */
  readonly rest: AsyncIterator<Buffer>;
}

/** A target's complete response. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: readonly string[];
  /** The whole body; released once it is not needed any more. */
  readonly held: HeldBytes;
  readonly framing: ResponseFraming;
}

/** Answer that doesn't fit into what is held. */
export interface LargeResult {
  readonly kind: 'large';
  readonly large: LargeAnswer;
}

/** Result of one attempt at a call. */
export type CallResult =
  | {readonly kind: 'answer'; readonly answer: CompleteResponse}
  | {readonly kind: 'target-failure'; readonly answer: CompleteResponse}
  /** The answer is too large to be held; its rest is still to be read. */
  | LargeResult
  | {readonly kind: 'not-run'}
  | {readonly kind: 'failed'; readonly error: ExchangeError};
