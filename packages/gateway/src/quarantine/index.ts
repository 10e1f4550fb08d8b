export * from './crash-evidence.js';
export * from './fingerprint.js';
export type { MonitoredAttempt } from './monitored-attempt.js';
export type { QuarantineUpdate } from './quarantine-update.js';
export * from './quarantine.js';
export * from './types.js';
export * from './upstream-attempts.js';
