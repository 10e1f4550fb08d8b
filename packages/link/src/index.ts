export * from './messages.js';
export * from './types.js';
