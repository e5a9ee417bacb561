export * from './diagnostic.js';
export * from './difference.js';
export * from './keys.js';
export * from './parse-configuration.js';
export * from './parse-settings.js';
export * from './parse-version.js';
