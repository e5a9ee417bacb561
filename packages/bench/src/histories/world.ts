import type {ManualClock, Random} from '@gentianlift/clock';
import type {MemoryKeyValue} from '@gentianlift/platform';
import type {HostId} from '@gentianlift/types';
import type {HistoryEvent} from './history.js';
import type {Host} from './host.js';
import type {LinkFaults} from './link.js';
import type {Upstream} from './upstream.js';

/** A fault put into the system on purpose, to show that the checker finds it. */
export const seededFaults = ['none', 'write-without-compare', 'unknown-as-applied', 'cut-as-not-run'] as const;
/** One of `seededFaults`. */
export type SeededFault = typeof seededFaults[number];

/** Everything that the processes of a schedule share. */
export type World = {
	clock: ManualClock;
	random: Random;
	keyValue: MemoryKeyValue;
	upstream: Upstream;
	hosts: Map<HostId, Host>;
	/** Runs of hosts that are seen as gone, as `host.incarnation`. */
	gone: Set<string>;
	faults: LinkFaults;
	seededFault: SeededFault;
	events: HistoryEvent[];
	settled: Array<{booking: string; request: string}>;
};
