import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ZodError} from 'zod';
import {
  decodePlacementMessage,
  formatPlacementMessage,
  isPlacementMessage,
} from './placement-codec.js';
import type {WirePlacement} from './messages.js';

const id = fc.stringMatching(/^i-[0-9a-f]{10}$/);
const amount = fc.nat(1_000_000);

const placement = fc.record({
  key: fc.constant('10.1.0.4/17.5#7'),
  decoder: id,
  targets: fc.array(id, {minLength: 1, maxLength: 16}),
  prefillMs: fc.array(amount, {minLength: 1, maxLength: 16}),
  promptTokens: amount,
  kvTokens: amount,
  reserved: fc.array(
    fc.record({target: id, tokens: amount}, {noNullPrototype: true}),
    {maxLength: 4},
  ),
  objectiveMs: amount,
  gapMs: amount,
  value: fc.double({min: 0, max: 100, noNaN: true, noDefaultInfinity: true}),
  predictedMs: amount,
  ageMs: amount,
  begun: fc.constant(false),
  suspects: fc.option(fc.array(id, {minLength: 1, maxLength: 3}), {
    nil: undefined,
  }),
});

describe('placement codec', () => {
  it('returns each placement as it was encoded', () => {
    fc.assert(
      fc.property(placement, params => {
        const bytes = formatPlacementMessage({method: 'placed', params});
        const message = decodePlacementMessage(bytes);
        expect(isPlacementMessage(bytes)).toEqual(true);
        // JSON has no negative zero.
        const wire: WirePlacement = {...params, value: params.value + 0};
        expect(message).toEqual({method: 'placed', params: wire});
      }),
    );
  });

  it('returns a placement on one engine without its name twice', () => {
    fc.assert(
      fc.property(placement, base => {
        const params = {...base, targets: [base.decoder]};
        const bytes = formatPlacementMessage({method: 'placed', params});
        expect(String(bytes).split(base.decoder).length).toBeLessThanOrEqual(
          2 + base.reserved.length + (base.suspects?.length ?? 0),
        );
        expect(decodePlacementMessage(bytes)).toEqual({
          method: 'placed',
          params,
        });
      }),
    );
  });

  for (const method of ['begun', 'ended'] as const)
    it(`returns the key of a stream that has ${method}`, () => {
      const message = {method, params: {key: '10.1.0.4/17.5#7'}};
      const bytes = formatPlacementMessage(message);
      expect(decodePlacementMessage(bytes)).toEqual(message);
    });

  it('rejects malformed messages', () => {
    for (const text of ['["p",1]', '["x","a"]', '[', '["b"]', '["e",4]'])
      expect(() => decodePlacementMessage(Buffer.from(text))).toThrow();
  });

  it('rejects a placement with any malformed field with an error of the schema', () => {
    // Guards against a check that accepts what the schema rejects.
    const fields: readonly unknown[] = [
      ...['p', 'a/1#7', 'i-1', ['i-1', 'i-2'], [30], 5000, 5400],
      ...[[['i-2', 400]], 300, 250, 1.5, 88, 0, 'part:7'],
    ];
    const decode = (changed: readonly unknown[]) =>
      decodePlacementMessage(Buffer.from(JSON.stringify(changed)));
    expect(decode(fields).method).toEqual('placed');
    const wrong = [null, {}, true, [null], [['i-2']], [['i-2', 1, 2]]];
    for (let at = 1; at < fields.length; at++)
      for (const value of wrong) {
        const changed = fields.map((field, i) => (i === at ? value : field));
        expect(() => decode(changed)).toThrow(ZodError);
      }
    for (const changed of [fields.slice(0, 12), [...fields, 4]])
      expect(() => decode(changed)).toThrow(ZodError);
    const huge = JSON.stringify(fields).replace('5000', '1e999');
    expect(() => decodePlacementMessage(Buffer.from(huge))).toThrow(ZodError);
    for (const text of ['["b","a/1#7",1]', '["e"]', '["b",7]', '["x","a"]'])
      expect(() => decodePlacementMessage(Buffer.from(text))).toThrow(ZodError);
  });
});
