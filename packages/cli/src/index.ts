export type * from './environment.js';
export * from './exit-codes.js';
export {callOperator, type OperatorClient} from './operator-client.js';
export {runCommandLine, type CommandOutput} from './run.js';
