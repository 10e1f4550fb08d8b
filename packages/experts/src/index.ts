export * from './types.js';
