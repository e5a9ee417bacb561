import type {Address, Settings, Zone} from '@gentianlift/types';

/** Contents of a router's settings file; the router uses defaults for settings that are absent. */
export type SettingsDocument = Partial<Settings> & Pick<Settings,
	'host' | 'zone' | 'callerAddress' | 'operatorAddress' | 'peerAddress' | 'gossipAddress' | 'peerKeys' | 'seeds' | 'keyValueUrl' | 'hostListUrl' | 'weightStoreUrl'
>;

/** Zones, service URLs and ports from which the settings of all hosts are generated. */
export type FleetAddresses = {
	zones: Zone[];
	keyValueUrl: string;
	hostListUrl: string;
	weightStoreUrl: string;
	/** Free ports, four for each host. */
	ports: number[];
};

const portsPerHost = 4;
/** Number of hosts that all hosts use as seeds to join the fleet. */
const seedCount = 3;
const peerKey = 'trial-key-between-hosts';

const getAddress = (ports: number[], host: number, listener: number): Address =>
	`127.0.0.1:${ports[(host * portsPerHost) + listener] ?? 0}`;

/** Returns the number of ports needed for a number of hosts. */
export const countPorts = (hosts: number): number => hosts * portsPerHost;

/** Returns the settings of each host of a fleet. */
export const getFleetSettings = ({zones, ports, ...urls}: FleetAddresses, overrides: Partial<Settings>): SettingsDocument[] => {
	const hosts = Array.from({length: ports.length / portsPerHost}, (_, index) => ({
		host: `host-${index + 1}`,
		zone: zones[index % zones.length] ?? 'zone-a',
		callerAddress: getAddress(ports, index, 0),
		operatorAddress: getAddress(ports, index, 1),
		peerAddress: getAddress(ports, index, 2),
		gossipAddress: getAddress(ports, index, 3),
	}));
	const seeds = hosts.slice(0, seedCount).map(({host, peerAddress, gossipAddress}) => ({host, peerAddress, gossipAddress}));
	return hosts.map(host => ({
		...host, ...urls, peerKeys: [peerKey], seeds, logLevel: 'warn', ...overrides,
	}));
};
