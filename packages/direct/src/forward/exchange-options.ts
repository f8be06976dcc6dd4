/** Options of an exchange with a target. */
import type {RawHeaders, Target} from '../types.js';
import type {RequestBody} from './request-body.js';
import type {SendCheck} from './send-check.js';

/** Request to send to a target. */
export interface ExchangeOptions {
  readonly target: Target;
  readonly method: string;
  readonly path: string;
  /**
   * Builds the head when the request is sent, as it tells the time left. Fields
   * that delimit the body are added by the exchange.
   */
  readonly buildHeaders: () => RawHeaders;
  readonly body: RequestBody;
  /**
   * Decides whether the request is sent once the connection is open.
   *
   * @default always
   */
  readonly sendCheck?: SendCheck;
}
