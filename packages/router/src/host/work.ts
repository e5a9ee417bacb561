import {
	createAccounts, createClaimClient, createClaimOwner, createClaimRemoval,
} from '@gentianlift/claims';
import {getDirectory, type Directory} from '../directory.js';
import {createAccountReader} from './account-reader.js';
import type {Base} from './base.js';
import {createDemandRecord} from './demand.js';
import type {Network} from './network.js';
import {createOrderers} from './orderers.js';
import {startPlacing} from './place-models.js';
import {startPolls} from './poll-upstreams.js';
import {startSuspectNotes} from './suspect-notes.js';
import {startUpstreamWatch} from './upstream-watch.js';

const rememberedRequests = 10_000;
const emptyDirectory: Directory = {byId: new Map(), byAddress: new Map()};

const createClaims = ({clock, random, metrics, keyValue, settings}: Base, {fleet, peers}: Network) => {
	const owner = createClaimOwner({
		clock, random, metrics, keyValue, isGone: fleet.isGone,
	});
	const client = createClaimClient({
		clock, random, metrics, self: settings.host, keyValue, peers, getOwner: fleet.getOwnerOf, owner, isGone: fleet.isGone,
	});
	const removal = createClaimRemoval({
		clock, metrics, self: settings.host, keyValue, getOwner: fleet.getOwnerOf,
	});
	return {owner, client, stopRemoval: removal.start()};
};

/** Creates what handles requests: order of work, claims, accounts, and the watch over upstreams. */
export const createWork = (base: Base, network: Network) => {
	const {settings, clock, random, upstreams} = base;
	const {fleet, follower, membership, peers} = network;
	let directory = emptyDirectory;
	const getCurrentDirectory = (): Directory => directory;
	const orderers = createOrderers({...base, fleet, peers});
	const claims = createClaims(base, network);
	const demand = createDemandRecord(createAccounts({clock, capacity: rememberedRequests}), clock);
	const {accounts} = demand;
	const placing = startPlacing(base, network, demand);
	const watch = startUpstreamWatch({
		...base, self: settings.host, membership, groupOwner: orderers.groupOwner, getGroups: orderers.getGroups, getDirectory: getCurrentDirectory,
	});
	const stopSuspectNotes = startSuspectNotes({
		clock, self: settings.host, membership, groupOwner: orderers.groupOwner,
	});
	const stopPolls = startPolls({
		clock,
		random,
		upstreams,
		getOwnEngines() {
			const groups = orderers.getGroups().filter(({id}) => fleet.getOwnerOf(id) === settings.host);
			const entries = groups.flatMap(group => group.upstreams.flatMap(({id}) => directory.byId.get(id) ?? []));
			return entries.filter(({kind}) => kind === 'engine');
		},
		applyLoadReport(upstream, report) {
			watch.applyLoadReport(upstream, report);
			placing.applyLoadReport(upstream, report);
		},
		applyCacheEvents(upstream, events) {
			orderers.groupOwner.applyCacheEvents(upstream, events);
		},
	});
	follower.onChange(version => {
		directory = getDirectory(version.configuration);
		orderers.applyConfiguration(version);
	});
	const readAccount = createAccountReader({
		self: settings.host, accounts, claims: claims.client, peers, fleet, now: clock.now,
	});
	const stop = async (): Promise<void> => {
		stopPolls();
		stopSuspectNotes();
		claims.stopRemoval();
		watch.stop();
		orderers.stop();
		await placing.stop();
	};

	return {
		orderers, claims, accounts, placing, watch, readAccount, getDirectory: getCurrentDirectory, stop,
	};
};

/** Parts that handle requests. */
export type Work = ReturnType<typeof createWork>;
