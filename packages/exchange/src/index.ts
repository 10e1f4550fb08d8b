export * from './body-check.js';
export * from './connect.js';
export * from './exchange.js';
export * from './exit-check.js';
export * from './liveness.js';
export * from './survival.js';
