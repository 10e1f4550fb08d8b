export * from './engine-orders.js';
export * from './http.js';
export * from './log.js';
export * from './log-client.js';
export * from './vm-list.js';
export * from './weight-store.js';
