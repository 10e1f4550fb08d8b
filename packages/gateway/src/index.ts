export * from './door.js';
export * from './gateway.js';
export * from './types.js';
