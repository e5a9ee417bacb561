// What benches need to run a host's queue without a network.
export {createProgress} from './call.js';
export {buildTestCall, type TestCall} from './testing-call.js';
export {createRequestQueue, type RequestQueue} from './queue/request-queue.js';
export {createSimulatedHost, type SimulatedHost} from './queue/simulated-host.js';
