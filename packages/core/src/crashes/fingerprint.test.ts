import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Fingerprint, readOutline} from './fingerprint.js';
import type {RequestContent} from './fingerprint.js';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'site',
  path: '/stream/x',
  account: 'acme',
  body: Buffer.from('prompt'),
};

function buildId(changes: Partial<RequestContent>): string {
  return new Fingerprint({...CONTENT, ...changes}).id;
}

describe('fingerprint', () => {
  it('is the same for the same content', () => {
    expect(buildId({body: Buffer.from('prompt')})).toEqual(buildId({}));
    expect(buildId({host: 'SITE'})).toEqual(buildId({}));
  });

  it('differs if any part of the content differs', () => {
    // Guards against a caller whose request counts as that of another caller.
    const changes: ReadonlyArray<Partial<RequestContent>> = [
      {},
      {method: 'PUT'},
      {host: 'other'},
      {path: '/stream/x?y=1'},
      {account: 'other'},
      {account: undefined},
      {body: Buffer.from('Prompt')},
      {body: Buffer.alloc(0)},
      {path: '/stream/', account: 'x'},
    ];
    const ids = changes.map(buildId);
    expect(new Set(ids).size).toEqual(changes.length);
  });

  it('begins with an outline that does not depend on the bytes of the body', () => {
    const first = new Fingerprint(CONTENT);
    const other = new Fingerprint({...CONTENT, body: Buffer.from('tpmorp')});
    expect(first.outline).toEqual(other.outline);
    expect(readOutline(first.id)).toEqual(first.outline);
    expect(first.id === other.id).toEqual(false);
  });
});
