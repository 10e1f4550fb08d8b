export * from './exit-codes.js';
export * from './invariant-error.js';
export { commandErrors, fileErrors } from './operator-errors.js';
export * from './plantaindrum-error.js';
export * from './refusal.js';
export type * from './types.js';
