import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import ts from 'typescript';

/** Modules that each module of a folder imports by a path, types too. */
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

/** Finds one circle; empty when there is none. */
function findCircle(
  imports: ReadonlyMap<string, readonly string[]>,
): readonly string[] {
  const done = new Set<string>();
  const step = (file: string, way: readonly string[]): readonly string[] => {
    const at = way.indexOf(file);
    if (at >= 0) return [...way.slice(at), file];
    if (done.has(file)) return [];
    for (const next of imports.get(file) ?? []) {
      const circle = step(next, [...way, file]);
      if (circle.length > 0) return circle;
    }
    done.add(file);
    return [];
  };
  for (const file of imports.keys()) {
    const circle = step(file, []);
    if (circle.length > 0) return circle;
  }
  return [];
}

describe('import circles', () => {
  // Modules that import each other cannot be understood or tested apart.
  const packages = readdirSync('packages').map(name => join('packages', name));
  for (const folder of [...packages, 'platform'])
    it(`${folder} has none`, () => {
      const imports = readImports(join(folder, 'src'));
      expect(imports.size > 0).toEqual(true);
      expect(findCircle(imports)).toEqual([]);
    });

  it('are found', () => {
    const imports = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['b']],
    ]);
    expect(findCircle(imports)).toEqual(['b', 'c', 'b']);
  });
});
