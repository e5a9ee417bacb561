import {
	isAddress, isName, parseRecordFields, type Address, type HostId, type Incarnation, type JsonObject, type Zone,
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

/** Highest processing capacity of a host. */
const maxStrength = 10_000;

const recordFields: ReadonlySet<string> = new Set(['host', 'incarnation', 'zone', 'callers', 'peers', 'notes', 'strength', 'isStopping'] satisfies Array<keyof HostRecord>);

const isHostRecord = (value: JsonObject | undefined): value is HostRecord => {
	const {host, incarnation, zone, callers, peers, notes, strength, isStopping} = value ?? {};
	const addresses = [callers, peers, notes];
	return isName(host) && isName(zone) && addresses.every(address => typeof address === 'string' && isAddress(address))
		&& Number.isFinite(incarnation) && typeof strength === 'number' && strength > 0 && strength <= maxStrength && typeof isStopping === 'boolean';
};

/** Parses a host record and leaves out the fields that this version doesn't know; returns undefined if the text is malformed, or an address that nothing can be sent to. */
export const parseHostRecord = (text: string): HostRecord | undefined => {
	const value = parseRecordFields(text, recordFields);
	if (!isHostRecord(value)) {
		return undefined;
	}

	const {host, incarnation, zone, callers, peers, notes, strength, isStopping} = value;
	return {
		host, incarnation, zone, callers, peers, notes, strength, isStopping,
	};
};
