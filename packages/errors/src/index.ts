export * from './format-found.js';
export * from './kinds.js';
export * from './request-error.js';
export * from './settings-error.js';
export * from './body.js';
export * from './cut-response.js';
