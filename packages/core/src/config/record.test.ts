import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConfigRecordError} from '../errors.js';
import {resolveConfigRecord} from './record.js';

const record = {
  version: 1,
  schemaVersion: 1,
  accounts: [
    {id: 'care', keys: ['care-key-1'], pools: ['chat']},
    {id: 'staff', keys: ['staff-key-1'], pools: ['chat']},
  ],
  pools: [
    {
      id: 'chat',
      kind: 'engine',
      targets: [{id: 'e1', agent: '10.0.0.1:7101', zone: 'az-1'}],
    },
  ],
  rules: [],
};

const [care, staff] = record.accounts;
const [chat] = record.pools;

describe('configuration record', () => {
  it('is rejected when two accounts share an API key, without revealing the key', () => {
    // Guards against a copied API key that identifies one account as another.
    const recordWithSharedKey = {
      ...record,
      accounts: [care, {...staff, keys: care.keys}],
    };
    expect(() => resolveConfigRecord(recordWithSharedKey)).toThrow(
      ConfigRecordError,
      'accounts: a key of staff is listed twice',
    );
    expect(() => resolveConfigRecord(recordWithSharedKey)).not.toThrow(
      /care-key-1/,
    );
  });

  it('is rejected when a rule names an unknown pool', () => {
    // Guards against a misspelled pool in a rule, which leaves the requests of
    // the intended pool repeatable.
    const rules = [{pool: 'ordres', notRepeatable: true}];
    expect(() => resolveConfigRecord({...record, rules})).toThrow(
      ConfigRecordError,
      'rules: no pool ordres',
    );
  });

  it('is rejected when a pool lists a target twice', () => {
    const pools = [{...chat, targets: [...chat.targets, ...chat.targets]}];
    expect(() => resolveConfigRecord({...record, pools})).toThrow(
      ConfigRecordError,
      'pools.chat: target e1 is listed twice',
    );
  });
});
