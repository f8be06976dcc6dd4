import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildTarget} from '../test/build-target.js';
import {TargetRanking} from './target-ranking.js';

const TARGETS = Array.from({length: 60}, (_, i) => buildTarget(`e${i}`, 1));

const GATES = Array.from({length: 20}, (_, i) => `10.1.0.${i}`);

describe('target ranking', () => {
  it('gives most gates a first target of their own', () => {
    // Guards against gates that all choose the first of several idle engines.
    const firsts = GATES.map(gate => new TargetRanking(gate).rank(TARGETS)[0]);
    expect(new Set(firsts).size).toBeGreaterThan(GATES.length / 2);
  });

  it('keeps the order of the targets that remain when others go', () => {
    const ranking = new TargetRanking(GATES[0]);
    const [first, ...others] = ranking.rank(TARGETS);
    ranking.drop(first.id);
    expect(ranking.rank(TARGETS.filter(target => target !== first))).toEqual(
      others,
    );
  });
});
