export * from './core/agent.js';
