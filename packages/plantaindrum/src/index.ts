export { runCli } from './cli/main.js';
export type { EntryDeps } from './core/entry/deps.js';
export type { Entry } from './core/entry/entry.js';
export { startEntry } from './core/entry/entry.js';
export type { EntryStatus } from './core/status/entry-status.js';
export type { NodeReport } from './core/entry/node-reports.js';
