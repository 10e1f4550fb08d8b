export * from './admission/admission.js';
export * from './admission/pass-model.js';
export * from './door.js';
export * from './gateway.js';
export * from './intent/shortest-pause.js';
export * from './types.js';
export * from './upstreams/slow-upstreams.js';
export * from './upstreams/upstream.js';
