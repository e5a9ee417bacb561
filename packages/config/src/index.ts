export * from './diagnostic.js';
export * from './keys.js';
export * from './parse-configuration.js';
export * from './parse-settings.js';
