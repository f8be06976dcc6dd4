export * from './config-service/server.js';
export * from './engine/options.js';
export * from './engine/orders.js';
export * from './engine/prefix-cache.js';
export * from './engine/scheduler.js';
export * from './engine/server.js';
export * from './host-list/server.js';
export * from './plain-service/server.js';
