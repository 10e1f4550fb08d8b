export * from './crash-evidence.js';
export * from './fingerprint.js';
export type { QuarantineUpdate } from './news.js';
export * from './quarantine.js';
export * from './runs-at-upstreams.js';
