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
  it('is refused when two accounts hold one key, without showing the key', () => {
    // Guards against a copied key that lets one account act as another.
    const copied = {...record, accounts: [care, {...staff, keys: care.keys}]};
    expect(() => resolveConfigRecord(copied)).toThrow(
      ConfigRecordError,
      'accounts: a key of staff is held twice',
    );
    expect(() => resolveConfigRecord(copied)).not.toThrow(/care-key-1/);
  });

  it('is refused when a rule names a pool that is not there', () => {
    // Guards against a misspelt pool that leaves orders repeatable.
    const rules = [{pool: 'ordres', notRepeatable: true}];
    expect(() => resolveConfigRecord({...record, rules})).toThrow(
      ConfigRecordError,
      'rules: no pool ordres',
    );
  });

  it('is refused when a pool lists a target twice', () => {
    const pools = [{...chat, targets: [...chat.targets, ...chat.targets]}];
    expect(() => resolveConfigRecord({...record, pools})).toThrow(
      ConfigRecordError,
      'pools.chat: target e1 is listed twice',
    );
  });
});
