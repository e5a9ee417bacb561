import type {Clock} from '@gentianlift/clock';
import type {DecodedEntry, FleetStore} from '@gentianlift/discovery';
import type {DutySettings, OperatorsService} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {RetryLimit} from '@gentianlift/routing';
import type {
	Address, Entry, HostId, Milliseconds, Zone,
} from '@gentianlift/types';
import type {Protocol} from '../protocol.js';

/** Settings of a host. */
export type HostSettings = {
	host: HostId;
	zone: Zone;
	/** Processing capacity of the host, in cores of standard speed. */
	capacity: number;
	/** Memory of the host, in bytes. */
	memory: number;
	/** Address on which callers' requests are received. */
	callers: Address;
	/** Address on which other hosts' requests are received. */
	peers: Address;
	/** UDP address on which load reports of other hosts are received. */
	loadReports: Address;
	/** Peer addresses of some other hosts, which may be gone. */
	knownPeers: Address[];
	/** Grace period between the signal to stop and the kill of the process. */
	gracePeriod: Milliseconds;
	/** Time to live of a list of addresses that callers were given; capped at `maxAddressListTtl`. */
	addressTtl: Milliseconds;
	retryLimit: RetryLimit;
	/** Duties that one host of the fleet performs at a time; absent if there are none. */
	duties?: DutySettings | undefined;
};

/** Dependencies of a host, apart from its settings. */
export type HostDependencies = {
	clock: Clock;
	logger: Logger;
	store: FleetStore;
	/** Decodes an entry that was written by operators or by an upstream. */
	decode: (entry: Entry) => DecodedEntry;
	protocol: Protocol;
	/** The service that takes the calls of duties; without it, the host takes part in none. */
	operatorsService?: OperatorsService | undefined;
	/** Metrics of the process, to which the host adds its own; by default the host has the only ones. */
	metrics?: Metrics;
};
