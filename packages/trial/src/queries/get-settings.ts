import type {Address, Settings, Zone} from '@gentianlift/types';

/** Settings of a router as written to its file; the router fills in the rest. */
export type SettingsDocument = Partial<Settings> & Pick<Settings,
	'host' | 'zone' | 'callerAddress' | 'operatorAddress' | 'peerAddress' | 'gossipAddress' | 'peerKeys' | 'seeds' | 'keyValueUrl' | 'hostListUrl' | 'weightStoreUrl'
>;

/** What the settings of all hosts share. */
export type Fleet = {
	zones: Zone[];
	keyValueUrl: string;
	hostListUrl: string;
	weightStoreUrl: string;
	/** Four for each host. */
	ports: number[];
};

const portsPerHost = 4;
const seedCount = 3;
const peerKey = 'trial-key-between-hosts';

const getAddress = (ports: number[], host: number, listener: number): Address =>
	`127.0.0.1:${ports[(host * portsPerHost) + listener] ?? 0}`;

/** Number of ports that the settings of some hosts take. */
export const countPorts = (hosts: number): number => hosts * portsPerHost;

/** Gets the settings of each host of a fleet. */
export const getFleetSettings = ({zones, ports, ...urls}: Fleet, extra: Partial<Settings>): SettingsDocument[] => {
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
		...host, ...urls, peerKeys: [peerKey], seeds, logLevel: 'warn', ...extra,
	}));
};
