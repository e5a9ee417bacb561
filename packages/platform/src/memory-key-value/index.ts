export {
	noWriteFaults, writeFaults, type MemoryFaults, type WriteFault,
} from './faults.js';
export type {CallCounts} from './calls.js';
export type {AppliedWrite} from './entries.js';
export * from './create-memory-key-value.js';
