export * from './follow.js';
export * from './keyed-mirror.js';
export * from './publisher.js';
export * from './roster.js';
