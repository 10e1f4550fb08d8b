export { runCli } from './cli/main.js';
export type { Entry, EntryDeps } from './core/entry/entry.js';
export { startEntry } from './core/entry/entry.js';
export type { EntryStatus } from './core/status/entry-status.js';
export type { NodeReport } from './core/entry/node-reports.js';
