// Checks that every function and method name begins with a verb listed in
// docs/VERBS.md. Prints each violating name and exits 1 if there are any.
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import ts from 'typescript';

/** Names that need no verb: constructors and `on…` event hooks. */
const EXEMPT = /^(constructor|on[A-Z])/;

const verbs = new Set(
  readFileSync('docs/VERBS.md', 'utf8')
    .split('\n')
    .filter(line => line.startsWith('| '))
    .flatMap(line => line.split('|')[1].split(','))
    .map(word => word.trim())
    .filter(word => /^[a-z]+$/.test(word)),
);

function listSources(dir) {
  return readdirSync(dir, {withFileTypes: true}).flatMap(entry => {
    const path = join(dir, entry.name);
    if (entry.isDirectory())
      return entry.name === 'dist' || entry.name === 'node_modules'
        ? []
        : listSources(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

function findName(node) {
  if (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node))
    return node.name;
  // Checks arrow functions only if they are top-level constants of a module.
  const isArrow =
    ts.isVariableDeclaration(node) &&
    node.parent.parent.parent.kind === ts.SyntaxKind.SourceFile &&
    node.initializer !== undefined &&
    ts.isArrowFunction(node.initializer);
  return isArrow ? node.name : undefined;
}

let failures = 0;
const paths = ['packages', 'platform'].flatMap(listSources);
for (const path of paths) {
  const source = ts.createSourceFile(
    path,
    readFileSync(path, 'utf8'),
    ts.ScriptTarget.ES2022,
    true,
  );
  const visit = node => {
    const name = findName(node);
    const text = name !== undefined && ts.isIdentifier(name) ? name.text : '';
    const first = /^[a-z]+/.exec(text)?.[0] ?? '';
    if (text !== '' && !EXEMPT.test(text) && !verbs.has(first)) {
      const {line} = source.getLineAndCharacterOfPosition(node.getStart());
      console.error(`${path}:${line + 1} ${text}`);
      failures++;
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
}
if (failures > 0) {
  console.error(
    `${failures} names do not begin with a verb listed in docs/VERBS.md`,
  );
  process.exit(1);
}
