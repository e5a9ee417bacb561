import type {ManualClock, Random} from '@gentianlift/clock';
import type {MemoryKeyValue} from '@gentianlift/platform';
import type {HostId} from '@gentianlift/types';
import type {HistoryEvent} from './history.js';
import type {Host} from './host.js';
import type {LinkFaults} from './link.js';
import type {Upstream} from './upstream.js';

/** Defects injected into the system deliberately, to verify that the checker finds them. */
export const seededFaults = ['none', 'write-without-compare', 'unknown-as-applied', 'cut-as-not-run'] as const;
/** One of `seededFaults`. */
export type SeededFault = typeof seededFaults[number];

/** State shared by the simulated processes of a schedule. */
export type Simulation = {
	clock: ManualClock;
	random: Random;
	keyValue: MemoryKeyValue;
	upstream: Upstream;
	hosts: Map<HostId, Host>;
	/** Incarnations that the other hosts consider gone, each as `host.incarnation`. */
	goneIncarnations: Set<string>;
	faults: LinkFaults;
	seededFault: SeededFault;
	events: HistoryEvent[];
	settlements: Array<{booking: string; request: string}>;
};
