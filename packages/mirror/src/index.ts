export * from './follow.js';
export * from './follower.js';
export * from './keyed-mirror.js';
export * from './peer-push.js';
export * from './publisher.js';
export * from './node-record.js';
export { createRelayedReader, RELAYED_READ_CALL } from './relayed-read.js';
export * from './agent-mirror.js';
export * from './topic.js';
