import process from 'node:process';
import type {Metrics} from '@gentianlift/metrics';

/** Sets the gauges of the memory that the process takes, in bytes. */
export const recordProcessMemory = (metrics: Metrics): void => {
	const {rss, heapUsed, external} = process.memoryUsage();
	metrics.setGauge('resident_memory_bytes', rss);
	metrics.setGauge('heap_used_bytes', heapUsed);
	metrics.setGauge('external_bytes', external);
};
