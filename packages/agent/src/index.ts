export * from './agent.js';
export * from './lanes/lanes.js';
export * from './ledger/ledger.js';
export * from './settings.js';
export * from './target/engine-target.js';
export * from './target/plain-target.js';
export * from './target/target.js';
