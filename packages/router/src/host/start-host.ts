import process from 'node:process';
import {startPeerServer} from '@gentianlift/peers';
import type {Settings} from '@gentianlift/types';
import {createCallerServer} from '../callers/caller-server.js';
import {handleRequest} from '../callers/handle-request.js';
import {closeServer, listen} from '../listen.js';
import {createOperatorServer} from '../operators/operator-server.js';
import type {HostParts} from '../parts.js';
import {createRequestIds} from '../request-ids.js';
import {createBase, type Base} from './base.js';
import {createGracefulStop, type GracefulStop, type StopSteps} from './graceful-stop.js';
import {createNetwork, type Network} from './network.js';
import {createOperatorActions, getReadiness} from './operator-actions.js';
import {startOverload, type Overload} from './overload.js';
import {createPeerHandlers} from './peer-handlers.js';
import {createWork, type Work} from './work.js';

/** A host that listens. */
export type RunningHost = {
	/** Begins a graceful shutdown; a second call is refused and logged. */
	stop: (reason: string) => void;
	/** Logs and counts a fault that nothing handled; one failed task must not cut all other requests. */
	reportFault: (fault: unknown) => void;
};

type Exit = (status: number) => void;

/** What ends a host beside its parts. */
type Ending = {
	/** Stops to listen for callers. */
	closeListener: () => Promise<void>;
	/** Stops to listen for operators and other hosts. */
	closeOthers: () => Promise<void>;
	exit: Exit;
};

const loadInterval = 1000;

const createOverload = ({clock, metrics, settings, open}: Base, {follower}: Network): Overload => startOverload({
	clock,
	metrics,
	getTiers: () => follower.getCurrent()?.configuration.rules.tiers.length ?? 1,
	getConnections: () => open.getCount() / settings.callerLimits.connections,
	getHeapBytes: () => process.memoryUsage.rss(),
});

const createParts = (base: Base, network: Network, work: Work, {overload, graceful}: {overload: Overload; graceful: () => GracefulStop}): HostParts => ({
	...base,
	grants: work.orderers.grants,
	limits: work.orderers.limits,
	claims: work.claims.client,
	accounts: work.accounts,
	createRequestId: createRequestIds(base.settings.host, base.incarnation),
	getConfiguration: () => network.follower.getStanding() === 'isolated' ? undefined : network.follower.getCurrent(),
	getDirectory: work.getDirectory,
	getHostAnswer: network.fleet.getHostAnswer,
	readAccount: work.readAccount,
	recordSighting: work.watch.recordSighting,
	getRankLimit: overload.getRankLimit,
	isDraining: () => graceful().getState().kind !== 'serving',
});

const createStopSteps = (base: Base, network: Network, work: Work, {closeListener, closeOthers, exit}: Ending): StopSteps => ({
	setDraining: network.membership.setDraining,
	closeListener() {
		void closeListener();
	},
	getOpenRequests: base.open.getCount,
	cutRequests() {
		base.open.cut.abort();
	},
	async finish() {
		const left = await work.claims.client.drain();
		if (left > 0) {
			base.logger.error('settlements-not-stored', {left});
		}

		await work.stop();
		network.follower.stop();
		network.membership.stop();
		network.peers.close();
		base.upstreams.close();
		await closeOthers();
	},
	exit,
});

const startLoadReports = ({clock}: Base, {membership}: Network, {getLoad}: Overload): void => {
	const {every} = clock;
	every(loadInterval, () => {
		membership.setLoad(getLoad());
	});
};

/** Starts a host by its settings; rejects if one of its addresses can't be used. `exit` ends the process after a shutdown. */
export const startHost = async (settings: Settings, exit: Exit): Promise<RunningHost> => {
	const base = createBase(settings);
	const network = createNetwork(base);
	const work = createWork(base, network);
	const overload = createOverload(base, network);
	const {clock, logger, metrics} = base;
	const parts = createParts(base, network, work, {overload, graceful: () => graceful});
	const callers = createCallerServer(settings, metrics, (request, response) => {
		void handleRequest(parts, request, response);
	});
	const graceful = createGracefulStop({
		clock, logger, timeToLive: settings.addressTimeToLive, steps: createStopSteps(base, network, work, {
			closeListener: async () => closeServer(callers),
			async closeOthers() {
				operators.close();
				operators.closeAllConnections();
				await peerServer.close();
			},
			exit,
		}),
	});
	const actions = createOperatorActions({
		...base, ...network, ...work, overload, graceful, readAccount: async id => work.readAccount(id, ''),
	});
	const operators = createOperatorServer(actions);
	await listen(operators, settings.operatorAddress);
	const peerServer = await startPeerServer({
		self: settings.host, address: settings.peerAddress, keys: settings.peerKeys, clock, metrics,
		handlers: createPeerHandlers({...network, ...work, claimOwner: work.claims.owner}),
	});
	await network.membership.start();
	await listen(callers, settings.callerAddress);
	startLoadReports(base, network, overload);
	await network.follower.start();
	logger.info('started', {host: settings.host, callers: settings.callerAddress, ready: getReadiness({...network, graceful}).ready});
	return {
		stop(reason) {
			graceful.begin(reason);
		},
		reportFault(fault) {
			metrics.count('unhandled_faults_total');
			logger.error('unhandled-fault', {detail: fault instanceof Error ? fault.stack : String(fault)});
		},
	};
};
