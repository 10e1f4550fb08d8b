export * from './clock.js';
export * from './errors/index.js';
export * from './logger.js';
export * from './metric-help.js';
export * from './metrics.js';
export * from './random.js';
export * from './result.js';
export * from './settings.js';
