export {compactCodec} from './compact.js';
export * from './credentials.js';
export * from './peer-router.js';
export * from './peer-server.js';
export * from './peer-calls.js';
