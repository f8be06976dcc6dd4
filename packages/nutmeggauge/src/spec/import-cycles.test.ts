import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import ts from 'typescript';

/**
 * Returns each module of a folder with its relative imports, type imports
 * included.
 */
function readImports(folder: string): ReadonlyMap<string, readonly string[]> {
  const files = readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts'))
    .map(name => join(folder, name));
  return new Map(
    files.map(file => {
      const {importedFiles} = ts.preProcessFile(readFileSync(file, 'utf8'));
      const paths = importedFiles
        .map(({fileName}) => fileName)
        .filter(name => name.startsWith('.'))
        .map(name => join(dirname(file), name).replace(/\.js$/, '.ts'));
      return [file, paths];
    }),
  );
}

/** Finds one import cycle; returns an empty list if there is none. */
function findCycle(
  imports: ReadonlyMap<string, readonly string[]>,
): readonly string[] {
  const done = new Set<string>();
  const visit = (file: string, chain: readonly string[]): readonly string[] => {
    const at = chain.indexOf(file);
    if (at >= 0) return [...chain.slice(at), file];
    if (done.has(file)) return [];
    for (const importedFile of imports.get(file) ?? []) {
      const cycle = visit(importedFile, [...chain, file]);
      if (cycle.length > 0) return cycle;
    }
    done.add(file);
    return [];
  };
  for (const file of imports.keys()) {
    const cycle = visit(file, []);
    if (cycle.length > 0) return cycle;
  }
  return [];
}

describe('import cycles', () => {
  // Guards against modules that import each other, directly or through others:
  // such modules cannot be understood or tested separately.
  const packages = readdirSync('packages').map(name => join('packages', name));
  for (const folder of [...packages, 'platform'])
    it(`finds no cycle between the modules of ${folder}`, () => {
      const imports = readImports(join(folder, 'src'));
      expect(imports.size > 0).toEqual(true);
      expect(findCycle(imports)).toEqual([]);
    });

  it('finds a cycle that does not contain the first module', () => {
    const imports = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['b']],
    ]);
    expect(findCycle(imports)).toEqual(['b', 'c', 'b']);
  });
});
