export * from './attempts/types.js';
export * from './claims/types.js';
export * from './outcomes.js';
export * from './queue/types.js';
export * from './retry/types.js';
export * from './routing/types.js';
