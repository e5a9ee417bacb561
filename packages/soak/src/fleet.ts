import type {Random} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {
	Deployment, HostOptions, LinkAddresses, FakeOperators, FakeOperatorsOptions, FakeStore, FakeUpstream, FakeUpstreamOptions,
} from './deployment.js';
import {openLink, type Link} from './link.js';
import {openHostLinks, type HostLinks} from './host-links.js';
import {createHostProcess, type HostProcess} from './host-process.js';

/** A host's process with its link to the key-value service; `hasActiveFault` while a fault stops, kills or pauses it. */
export type SoakHost = {options: HostOptions; hostProcess: HostProcess; storeLink: Link; upstreamLinks: HostLinks; callerAddress: Address; hasActiveFault: boolean};

/** A fake upstream behind a link. */
export type SoakUpstream = {fake: FakeUpstream; link: Link};

/** All processes, fakes and links of one run. */
export type Fleet = {store: FakeStore; operators: FakeOperators; hosts: SoakHost[]; upstreams: SoakUpstream[]; close: () => Promise<void>};

/** Settings of a fleet. */
export type FleetSettings = {
	deployment: Deployment;
	/** First three octets of loopback addresses that no other process uses. */
	network: string;
	/** Directory to which logs and settings are written. */
	folder: string;
	hosts: number;
	/** Number of upstreams of each service. */
	upstreams: number;
	/** Program of an earlier build, which every second host runs. */
	earlierProgram?: string | undefined;
};

/** Options of a fleet. */
export type FleetOptions = FleetSettings & {
	/** Draws how calls to the operators' service fail. */
	random: Random;
	/** Listeners to what the upstreams and the operators' service see. */
	listeners: Pick<FakeUpstreamOptions, 'onExecute' | 'onPartCrash' | 'onLimitedArrival' | 'onBoundArrival'> & Pick<FakeOperatorsOptions, 'onDutyCall'>;
};

const zones = ['zone-1', 'zone-2'];
// Last octets of the loopback addresses.
const firstHostOctet = 10;
const firstUpstreamOctet = 100;
const storeOctet = 2;
const storeLinkOctet = 3;
const operatorsOctet = 4;
const firstLinkOctet = 130;
const maxOctet = 254;
/** Time from SIGTERM after which a host is killed. */
export const shutdownGracePeriod: Milliseconds = 8000;
/** Memory of the hosts in turn, in megabytes. */
const memories = [350, 250];
const bytesPerMegabyte = 1_000_000;

/** Called when an upstream stops or resumes to listen. */
type ListeningListener = (upstream: number, isListening: boolean) => void;

const startUpstreams = async (options: FleetOptions, store: FakeStore, onListening: ListeningListener): Promise<SoakUpstream[]> => {
	const {
		deployment, network, upstreams, listeners,
	} = options;
	const services = [...new Set(Object.values(deployment.services))];
	const names = services.flatMap(service => Array.from({length: upstreams}, (_, index) => ({service, name: `${service}-${index}`})));
	return Promise.all(names.map(async ({service, name}, index): Promise<SoakUpstream> => {
		let link: Link | undefined;
		const fake = await deployment.startUpstream({
			service,
			name,
			ip: `${network}.${firstUpstreamOctet + index}`,
			store,
			...listeners,
			onListening(isListening) {
				link?.setListening(isListening);
				onListening(index, isListening);
			},
			async openLink(address) {
				link = await openLink(`${network}.${firstUpstreamOctet + index}`, address);
				return link.address;
			},
		});
		if (link === undefined) {
			throw new Error(`${name} opened no link`);
		}

		return {fake, link};
	}));
};

/** Returns the addresses of a host's own links; hosts beyond those for which the network has addresses have none. */
const getLinkAddresses = (network: string, upstreams: number, host: number): LinkAddresses => {
	const linkedHosts = Math.floor((maxOctet + 1 - firstLinkOctet) / upstreams);
	return {
		network, firstUpstream: firstUpstreamOctet, count: host < linkedHosts ? upstreams : 0, firstLink: firstLinkOctet + (host * upstreams),
	};
};

const prepareHost = async (options: FleetOptions, {store, operators, upstreams}: Pick<Fleet, 'store' | 'operators' | 'upstreams'>, index: number): Promise<SoakHost> => {
	const {deployment, network, folder} = options;
	const links = getLinkAddresses(network, upstreams.length, index);
	const upstreamLinks = await openHostLinks(links, upstreams.slice(0, links.count).map(({link}) => link.address));
	const storeLink = await openLink(`${network}.${storeLinkOctet}`, store.address);
	const hostOptions: HostOptions = {
		name: `host-${index}`,
		ip: `${network}.${firstHostOctet + index}`,
		zone: zones[index % zones.length] ?? '',
		store: storeLink.address,
		operators: operators.address,
		knownPeers: [`${network}.${firstHostOctet}`, `${network}.${firstHostOctet + 1}`],
		grace: shutdownGracePeriod,
		memory: memories[index % memories.length] ?? 0,
		links,
		folder,
		program: index % 2 === 1 ? options.earlierProgram : undefined,
	};
	deployment.writeSettings(hostOptions);
	return {
		options: hostOptions,
		hostProcess: createHostProcess({command: deployment.getCommand(hostOptions), memoryLimit: hostOptions.memory * bytesPerMegabyte}),
		storeLink,
		upstreamLinks,
		callerAddress: deployment.getCallerAddress(hostOptions.ip),
		hasActiveFault: false,
	};
};

/** Starts the fake services and the hosts' processes; returns before the hosts are ready. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const store = await options.deployment.startStore(`${options.network}.${storeOctet}`);
	const operators = await options.deployment.startOperators({
		ip: `${options.network}.${operatorsOctet}`, random: options.random, onDutyCall: options.listeners.onDutyCall,
	});
	const hosts: SoakHost[] = [];
	const upstreams = await startUpstreams(options, store, (upstream, isListening) => {
		for (const {upstreamLinks} of hosts) {
			upstreamLinks.setListening(upstream, isListening);
		}
	});
	hosts.push(...await Promise.all(Array.from({length: options.hosts}, async (_, index) => prepareHost(options, {store, operators, upstreams}, index))));
	for (const {hostProcess} of hosts) {
		hostProcess.start();
	}

	return {
		store,
		operators,
		hosts,
		upstreams,
		async close() {
			await Promise.all(hosts.map(async ({hostProcess}) => hostProcess.kill()));
			for (const {storeLink, upstreamLinks} of hosts) {
				storeLink.close();
				upstreamLinks.close();
			}

			for (const {fake, link} of upstreams) {
				fake.close();
				link.close();
			}

			operators.close();
			store.close();
		},
	};
};
