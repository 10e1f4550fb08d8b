export { createIntentAggregate, digestOf } from './core/document/aggregate.js';
export type { IntentAggregate, IntentSnapshot } from './core/document/aggregate.js';
export { splitKey } from './core/document/validation.js';
export * from './links.js';
export { INTENT_PARTITION, INTENT_TOPIC } from './reader/log-follower.js';
export type { FetchAnswer, IntentPeer } from './reader/peers.js';
export * from './reader/reader.js';
export * from './types.js';
export * from './writer/checkpointer.js';
