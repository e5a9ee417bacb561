import {createAccounts, createClaimClient, createClaimOwner} from '@gentianlift/claims';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {parseVersionText} from '@gentianlift/config';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {createPeerCalls, startPeerServer} from '@gentianlift/peers';
import {createKeyValueClient} from '@gentianlift/platform';
import type {ConfigurationVersion, Member, Settings} from '@gentianlift/types';
import {createUpstreamClient} from '@gentianlift/upstream';
import {createCallerServer} from '../callers/caller-server.js';
import {handleRequest} from '../callers/handle-request.js';
import {getDirectory, type Directory} from '../directory.js';
import {listen} from '../listen.js';
import type {HostParts} from '../parts.js';
import {createRequestIds} from '../request-ids.js';
import {createOperatorServer} from '../operators/operator-server.js';
import {createFleet} from './fleet.js';
import {createOrderers} from './orderers.js';
import {startPolls} from './poll-upstreams.js';

/** Starts a host by its settings; rejects if one of its addresses can't be used. */
export const startHost = async (settings: Settings): Promise<void> => {
	const clock = createSystemClock();
	const incarnation = clock.now();
	const random = createRandom(settings.seed ?? incarnation);
	const metrics = createMetrics();
	const logger = createLogger(settings.logLevel);
	const members = [settings, ...settings.seeds.filter(({host}) => host !== settings.host)].map((seed): Member => ({
		host: seed.host, incarnation, zone: settings.zone, callerAddress: settings.callerAddress, peerAddress: seed.peerAddress, gossipAddress: seed.gossipAddress, state: 'alive', configurationVersion: 0, load: 0,
	}));
	const fleet = createFleet(() => members, settings.addressTimeToLive, random);
	const peers = createPeerCalls({
		self: settings.host, keys: settings.peerKeys, getAddress: host => fleet.getMember(host)?.peerAddress, clock, metrics, timeout: settings.silenceLimits.peer,
	});
	const keyValue = createKeyValueClient({url: settings.keyValueUrl, clock, timeout: settings.silenceLimits.platform});
	const upstreams = createUpstreamClient({clock, silenceLimits: settings.silenceLimits});
	const orderers = createOrderers({
		settings, incarnation, clock, random, metrics, fleet, peers,
	});
	const claimOwner = createClaimOwner({
		clock, random, metrics, keyValue, isGone: fleet.isGone,
	});
	const claims = createClaimClient({
		clock, random, metrics, self: settings.host, keyValue, peers, getOwner: fleet.getOwnerOf, owner: claimOwner, isGone: fleet.isGone,
	});
	const accounts = createAccounts({clock, capacity: 10_000});
	let current: ConfigurationVersion | undefined;
	let directory: Directory = {byId: new Map(), byAddress: new Map()};
	const parts: HostParts = {
		settings, incarnation, clock, random, logger, metrics, grants: orderers.grants, limits: orderers.limits, claims, accounts, upstreams,
		createRequestId: createRequestIds(settings.host, incarnation),
		getConfiguration: () => current,
		getDirectory: () => directory,
		getHostAnswer: fleet.getHostAnswer,
		readAccount: async id => accounts.getAccount(id),
		recordSighting: orderers.groupOwner.applySighting,
		getRankLimit: () => undefined,
	};
	await startPeerServer({
		self: settings.host, address: settings.peerAddress, keys: settings.peerKeys, clock, metrics, handlers: {
			exchangeGrants: async (from, message) => orderers.groupOwner.handle(from, message),
			async pushGrants(_from, message) {
				orderers.grants.receive(message);
				return {received: true};
			},
			exchangeQuota: async (from, message) => orderers.quotaOwner.handle(from, message),
			claim: claimOwner.claim,
			settleClaim: claimOwner.settle,
			readConfiguration: async () => ({}),
			async readAccount(_from, {request}) {
				const account = accounts.getAccount(request);
				return account === undefined ? {} : {account};
			},
		},
	});
	startPolls({
		clock, random, upstreams,
		getOwnEngines: () => orderers.getGroups().filter(({id}) => fleet.getOwnerOf(id) === settings.host).flatMap(({upstreams: items}) => items.flatMap(({id}) => directory.byId.get(id) ?? [])),
		applyLoadReport: orderers.groupOwner.applyLoadReport,
		applyCacheEvents: orderers.groupOwner.applyCacheEvents,
	});
	for (;;) {
		const outcome = await keyValue.read('configuration/current');
		if (outcome.kind === 'found') {
			const parsed = parseVersionText(outcome.entry.value);
			if (parsed.kind === 'valid') {
				current = parsed.value;
				directory = getDirectory(current.configuration);
				orderers.applyConfiguration(current);
				break;
			}
		}

		await clock.sleep(500);
	}

	const operators = createOperatorServer({
		queries: {
			getHealth: () => ({healthy: true}),
			getReadiness: () => ({ready: true}),
			getMetrics: metrics.getPage,
			getStatus() {
				throw new Error('not wired');
			},
			getHosts: () => ({hosts: members}),
			getUpstreams: () => ({upstreams: []}),
			async readAccount(id) {
				const account = accounts.getAccount(id);
				if (account === undefined) {
					throw new Error('not known');
				}

				return account;
			},
		},
		commands: {
			drain: () => ({state: 'draining'}),
			undrain: () => ({state: 'alive'}),
			setUpstreamDrain: upstream => ({upstream, leaving: true}),
			setLogLevel: () => ({level: logger.getLevel()}),
		},
	});
	const server = createCallerServer(settings, metrics, (request, response) => {
		void handleRequest(parts, request, response);
	});
	await listen(server, settings.callerAddress);
	await listen(operators, settings.operatorAddress);
	logger.info('listening', {address: settings.callerAddress});
};
