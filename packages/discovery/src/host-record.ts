import type {
	Address, HostId, Incarnation, Zone,
} from '@gentianlift/types';

/** Record that a host publishes about itself in the store, the key-value service. */
export type HostRecord = {
	host: HostId;
	incarnation: Incarnation;
	zone: Zone;
	/** Address to which callers connect. */
	callers: Address;
	/** Address from which other hosts read its view of the fleet. */
	peers: Address;
	/** UDP address for datagrams with load reports and store changes; `loadReports` in the settings. */
	notes: Address;
	/** Processing capacity, in cores of standard speed; `capacity` in the settings. */
	strength: number;
	/** Whether the host is in a graceful shutdown. */
	isStopping: boolean;
};

/** Prefix of the keys of host records. */
export const hostPrefix = 'gentianlift/hosts/';

/** Returns the key of a host's record. */
export const getHostKey = (host: HostId): string => `${hostPrefix}${host}`;

const isHostRecord = (value: unknown): value is HostRecord => {
	const {host, incarnation, zone, callers, peers, notes, strength, isStopping} = (value ?? {}) as Record<string, unknown>;
	const texts = [host, zone, callers, peers, notes];
	return texts.every(text => typeof text === 'string') && [incarnation, strength].every(number => typeof number === 'number') && typeof isStopping === 'boolean';
};

/** Parses a host record; returns undefined if the text is malformed. */
export const parseHostRecord = (text: string): HostRecord | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isHostRecord(value) ? value : undefined;
	} catch {
		return undefined;
	}
};
