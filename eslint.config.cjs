// gts (Google TypeScript Style) with the project's build output left out.
// Type-aware rules read tsconfig.eslint.json, which spans every package.
const gts = require('gts');

module.exports = [
  {ignores: ['**/dist/', '**/node_modules/', 'runs/', 'spec/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.eslint.json'}},
  },
  {
    // node:test's describe and it return promises that the runner awaits.
    files: ['**/*.test.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
];
