/** Fingerprints of the requests that gates dispatch to agents. */
import {Fingerprint} from './fingerprint.js';
import {hashPrefixes} from '../prompt-prefixes.js';
import type {DispatchRequest} from '../protocol.js';

/** Parts of a dispatched request that a retry of its caller has in common. */
export type DispatchContent = Pick<
  DispatchRequest,
  'account' | 'pool' | 'kind' | 'op' | 'prompt' | 'maxTokens' | 'args'
>;

/**
 * Creates the fingerprint of a dispatched request, which gates and agents agree
 * on.
 *
 * @example
 * createDispatchFingerprint(request).id;
 */
export function createDispatchFingerprint(
  request: DispatchContent,
): Fingerprint {
  const {account, pool, kind, op = '', prompt, maxTokens = ''} = request;
  return new Fingerprint({
    method: kind,
    host: pool,
    path: `${op}#${maxTokens}`,
    account,
    body: prompt ?? JSON.stringify(request.args ?? {}),
    listParts: () =>
      hashPrefixes(prompt ?? '').map(prefix => `${pool}/${prefix}`),
  });
}
