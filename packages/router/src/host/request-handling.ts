import {
	createAccounts, createClaimClient, createClaimStore, createClaimRemoval,
} from '@gentianlift/claims';
import {createUpstreamDirectory, type UpstreamDirectory} from '../upstream-directory.js';
import {createAccountReader} from './account-reader.js';
import type {Infrastructure} from './infrastructure.js';
import {createDemandTracker} from './demand-tracker.js';
import type {Network} from './network.js';
import {createScheduling} from './scheduling.js';
import {startModelPlacement} from './model-placement.js';
import {startEnginePolling} from './engine-polling.js';
import {startSuspectGossip} from './suspect-gossip.js';
import {startUpstreamMonitor} from './upstream-monitor.js';

const accountCapacity = 10_000;
const emptyDirectory: UpstreamDirectory = {byId: new Map(), byAddress: new Map()};

const createClaims = ({clock, random, metrics, keyValue, settings}: Infrastructure, {fleet, peers}: Network) => {
	const owner = createClaimStore({
		clock, random, metrics, keyValue, isGone: fleet.hasEnded,
	});
	const client = createClaimClient({
		clock, random, metrics, self: settings.host, keyValue, peers, getOwner: fleet.getOwnerOf, claimStore: owner, isGone: fleet.hasEnded,
	});
	const removal = createClaimRemoval({
		clock, metrics, self: settings.host, keyValue, getOwner: fleet.getOwnerOf,
	});
	return {owner, client, stopRemoval: removal.start()};
};

/** Creates the components that handle requests: scheduling, claims, accounts, and the monitor of upstreams. */
export const createRequestHandling = (infrastructure: Infrastructure, network: Network) => {
	const {settings, clock, random, upstreams} = infrastructure;
	const {fleet, follower, membership, peers} = network;
	let directory = emptyDirectory;
	const getCurrentDirectory = (): UpstreamDirectory => directory;
	const scheduling = createScheduling({...infrastructure, fleet, peers});
	const claims = createClaims(infrastructure, network);
	const demandTracker = createDemandTracker(createAccounts({clock, capacity: accountCapacity}), clock);
	const {accounts} = demandTracker;
	const modelPlacement = startModelPlacement(infrastructure, network, demandTracker);
	const upstreamMonitor = startUpstreamMonitor({
		...infrastructure, self: settings.host, membership, groupOwner: scheduling.groupOwner, getGroups: scheduling.getGroups, getDirectory: getCurrentDirectory,
	});
	const stopSuspectGossip = startSuspectGossip({
		clock, self: settings.host, membership, groupOwner: scheduling.groupOwner,
	});
	const stopEnginePolling = startEnginePolling({
		clock,
		random,
		upstreams,
		getScheduledEngines() {
			const groups = scheduling.getGroups().filter(({id}) => fleet.getOwnerOf(id) === settings.host);
			const entries = groups.flatMap(group => group.upstreams.flatMap(({id}) => directory.byId.get(id) ?? []));
			return entries.filter(({kind}) => kind === 'engine');
		},
		applyLoadReport(upstream, report) {
			upstreamMonitor.applyLoadReport(upstream, report);
			modelPlacement.applyLoadReport(upstream, report);
		},
		applyCacheEvents(upstream, events) {
			scheduling.groupOwner.applyCacheEvents(upstream, events);
		},
	});
	follower.onChange(version => {
		directory = createUpstreamDirectory(version.configuration);
		scheduling.applyConfiguration(version);
	});
	const readAccount = createAccountReader({
		self: settings.host, accounts, claims: claims.client, peers, fleet, now: clock.now,
	});
	const stop = async (): Promise<void> => {
		stopEnginePolling();
		stopSuspectGossip();
		claims.stopRemoval();
		upstreamMonitor.stop();
		scheduling.stop();
		await modelPlacement.stop();
	};

	return {
		scheduling, claims, accounts, modelPlacement, upstreamMonitor, readAccount, getDirectory: getCurrentDirectory, stop,
	};
};

/** Components that handle requests. */
export type RequestHandling = ReturnType<typeof createRequestHandling>;
