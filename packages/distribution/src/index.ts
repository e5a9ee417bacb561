export * from './follower.js';
export * from './follower-options.js';
export * from './follower-state.js';
export * from './publish.js';
export * from './publish-state.js';
export * from './store.js';
export * from './store-keys.js';
export {choosePeerResult} from './bootstrap.js';
