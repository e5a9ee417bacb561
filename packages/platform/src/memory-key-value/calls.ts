import type {Clock} from '@gentianlift/clock';
import type {MemoryFaults} from './faults.js';

/** Number of calls of each kind since the service was created. */
export type CallCounts = {reads: number; writes: number; lists: number; watches: number; leases: number};

/** Outcome of a call during an outage. */
export type Outage = {kind: 'unavailable'; reason: string};

/** The calls that reach the service. */
export type Calls = {
	/** Counts a call, fails it during an outage, and delays its reply; the call takes effect before the delay. */
	simulate: <Outcome>(kind: keyof CallCounts, run: () => Outcome) => Promise<Outcome | Outage>;
	/** Returns the number of calls of each kind. */
	getCounts: () => CallCounts;
};

const outage: Outage = {kind: 'unavailable', reason: 'outage'};

/** Creates the simulation of calls, with no call counted yet. */
export const createCalls = (clock: Clock, getFaults: () => MemoryFaults): Calls => {
	const counts: CallCounts = {
		reads: 0, writes: 0, lists: 0, watches: 0, leases: 0,
	};
	return {
		async simulate(kind, run) {
			counts[kind]++;
			const outcome = getFaults().outage ? {...outage} : run();
			const {latency} = getFaults();
			if (latency > 0) {
				await clock.sleep(latency);
			}

			return outcome;
		},
		getCounts: () => ({...counts}),
	};
};
