import type {Entry, HostId} from '@gentianlift/types';

/** A host's view of the store and of the other hosts, as far as duties need it. */
export type DutyView = {
	/** Returns an entry of the store as this host knows it. */
	getEntry: (key: string) => Entry | undefined;
	/** Returns the revision of the store up to which changes are known; 0 before the first. */
	getRevision: () => number;
	/** Returns the hosts, of those that are available, that all hosts choose for a key, best first. */
	chooseHosts: (key: string, count: number) => HostId[];
};
