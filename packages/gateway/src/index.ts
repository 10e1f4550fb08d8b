export * from './door.js';
export * from './gateway.js';
export * from './mesh/publisher.js';
export * from './mesh/roster.js';
export * from './mirror/follow.js';
export * from './mirror/keyed-mirror.js';
export * from './types.js';
export * from './values.js';
