import type {Address, HostId, Milliseconds} from '@gentianlift/types';
import type {CapacityOrder, DutyOutcome, UsageReport} from './operators-service.js';

/** Kind of a duty: to report the usage of customers, or to order upstreams. */
export type DutyName = 'usage' | 'scaling';

/** What one host at a time has the duty for: the usage of the whole fleet, or a service in an availability zone. */
export type DutySubject
	= | {duty: 'usage'}
		| {duty: 'scaling'; service: string; zone: string};

/** Settings of the duties of a fleet; absent where it has none. */
export type DutySettings = {
	/** Address of the operators' service that takes the calls. */
	address: Address;
	/** The duties that the fleet has. */
	names: DutyName[];
	/** Calls a second that the service accepts of all hosts together. */
	callsPerSecond: number;
	/** Minimum time between two calls of one host for a subject if another host has made one between them. */
	holderSeparation: Milliseconds;
	/** Length of a window of the usage reports. */
	usageWindow: Milliseconds;
	/** Time after the end of a window by which its report is due. */
	usageDelay: Milliseconds;
};

/** The duties of the fleet as a host takes part in them. */
export type Duties = {
	/** Whether this host may act for the subject now. */
	isHeld: (subject: DutySubject) => boolean;
	/** Returns the hosts that hold the duty for the subject or take it over next, so that they should know what it needs. */
	getCandidates: (subject: DutySubject) => HostId[];
	/** Sends the report of a window if this host holds the duty until the call has ended. */
	reportUsage: (report: UsageReport) => Promise<DutyOutcome>;
	/** Sends an order if this host holds the duty for its service and zone until the call has ended. */
	orderCapacity: (order: CapacityOrder) => Promise<DutyOutcome>;
	/** Hands the duties over at once; resolves when no call of this host is in flight any more. */
	stop: () => Promise<void>;
};
