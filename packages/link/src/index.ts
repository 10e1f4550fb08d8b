export * from './calls.js';
export * from './client.js';
export * from './codec.js';
export * from './framing.js';
export * from './messages.js';
export * from './options.js';
export * from './server.js';
export * from './types.js';
