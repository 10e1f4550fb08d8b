export * from './types.js';
export * from './group-claims.js';
export * from './group-member.js';
export * from './messages.js';
export * from './versions.js';
