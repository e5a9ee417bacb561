import process from 'node:process';
import {startPeerServer} from '@gentianlift/peers';
import type {Settings} from '@gentianlift/types';
import {createCallerServer} from '../callers/caller-server.js';
import {handleRequest} from '../callers/handle-request.js';
import {closeServer, listen} from '../listen.js';
import {createOperatorServer} from '../operators/operator-server.js';
import type {HostContext} from '../host-context.js';
import {createRequestIds} from '../request-ids.js';
import {createInfrastructure, type Infrastructure} from './infrastructure.js';
import {createGracefulShutdown, type GracefulShutdown, type ShutdownSteps} from './graceful-shutdown.js';
import {createNetwork, type Network} from './network.js';
import {createOperatorActions, getReadiness} from './operator-actions.js';
import {startOverloadMonitor, type OverloadMonitor} from './overload-monitor.js';
import {createPeerHandlers} from './peer-handlers.js';
import {createRequestHandling, type RequestHandling} from './request-handling.js';

/** Running host. */
export type RunningHost = {
	/** Resolves after the first attempt to obtain the configuration, without which the host refuses requests. */
	started: Promise<void>;
	/** Begins a graceful shutdown, which ends before the grace period of the settings; a second call is refused and logged. */
	stop: (reason: string) => void;
	/** Logs and counts an unhandled error. The process continues, because one failed task must not abort all other requests. */
	reportFault: (fault: unknown) => void;
};

type Exit = (status: number) => void;

/** Actions that end a host after its components have stopped. */
type ShutdownActions = {
	/** Closes the listener for callers. */
	closeListener: () => Promise<void>;
	/** Closes the listeners for operators and other hosts. */
	closeInternalListeners: () => Promise<void>;
	exit: Exit;
};

const loadIntervalMilliseconds = 1000;

const createOverloadMonitor = ({clock, metrics, settings, inFlightRequests}: Infrastructure, {follower}: Network): OverloadMonitor => startOverloadMonitor({
	clock,
	metrics,
	getTierCount: () => follower.getCurrent()?.configuration.rules.tiers.length ?? 1,
	getConnectionRatio: () => inFlightRequests.getCount() / settings.callerLimits.connections,
	getHeapBytes: () => process.memoryUsage.rss(),
});

const createHostContext = (
	infrastructure: Infrastructure, network: Network, requestHandling: RequestHandling,
	{overloadMonitor, getShutdown}: {overloadMonitor: OverloadMonitor; getShutdown: () => GracefulShutdown},
): HostContext => ({
	...infrastructure,
	grants: requestHandling.scheduling.grants,
	limits: requestHandling.scheduling.limits,
	claims: requestHandling.claims.client,
	accounts: requestHandling.accounts,
	createRequestId: createRequestIds(infrastructure.settings.host, infrastructure.incarnation),
	getConfiguration: () => network.follower.getStatus() === 'isolated' ? undefined : network.follower.getCurrent(),
	getDirectory: requestHandling.getDirectory,
	getHostListResponse: network.fleet.getHostListResponse,
	readAccount: requestHandling.readAccount,
	recordObservation: requestHandling.upstreamMonitor.recordObservation,
	getRankLimit: overloadMonitor.getRankLimit,
	isStopping: () => getShutdown().getState().kind === 'stopping',
});

const createShutdownSteps = (infrastructure: Infrastructure, network: Network, requestHandling: RequestHandling, {closeListener, closeInternalListeners, exit}: ShutdownActions): ShutdownSteps => ({
	setDraining: network.membership.setDraining,
	closeListener() {
		void closeListener();
	},
	getOpenCount: infrastructure.inFlightRequests.getOpenCount,
	abortRequests() {
		infrastructure.inFlightRequests.abortController.abort();
	},
	answerRequests: infrastructure.inFlightRequests.answerAll,
	async finish() {
		const left = await requestHandling.claims.client.drain();
		if (left > 0) {
			infrastructure.logger.error('settlements-not-stored', {left});
		}

		await requestHandling.stop();
		network.follower.stop();
		network.membership.stop();
		network.peers.close();
		infrastructure.upstreams.close();
		await closeInternalListeners();
	},
	exit,
});

const startLoadUpdates = ({clock}: Infrastructure, {membership}: Network, {getLoad}: OverloadMonitor): void => {
	const {every} = clock;
	every(loadIntervalMilliseconds, () => {
		membership.setLoad(getLoad());
	});
};

/**
Starts a host with the given settings. `exit` ends the process after a shutdown.

Rejects if it can't listen on one of its addresses. That for callers comes last, as a start that fails later would end requests that it has read. It joins the fleet only after it listens on all of them, as the other hosts then give callers its address.
*/
export const startHost = async (settings: Settings, exit: Exit): Promise<RunningHost> => {
	const infrastructure = createInfrastructure(settings);
	const network = createNetwork(infrastructure);
	const requestHandling = createRequestHandling(infrastructure, network);
	const overloadMonitor = createOverloadMonitor(infrastructure, network);
	const {clock, logger, metrics} = infrastructure;
	const context = createHostContext(infrastructure, network, requestHandling, {overloadMonitor, getShutdown: () => shutdown});
	const callerServer = createCallerServer({
		settings,
		metrics,
		isDraining: () => shutdown.getState().kind !== 'serving',
		handle(request, response) {
			void handleRequest(context, request, response);
		},
	});
	const shutdown = createGracefulShutdown({
		clock, logger, timeToLive: settings.addressTimeToLive, gracePeriod: settings.gracePeriod, steps: createShutdownSteps(infrastructure, network, requestHandling, {
			closeListener: async () => closeServer(callerServer),
			async closeInternalListeners() {
				operatorServer.close();
				operatorServer.closeAllConnections();
				await peerServer.close();
			},
			exit,
		}),
	});
	const actions = createOperatorActions({
		...infrastructure, ...network, ...requestHandling, overloadMonitor, shutdown, readAccount: async id => requestHandling.readAccount(id, ''),
	});
	const operatorServer = createOperatorServer(actions);
	await listen(operatorServer, settings.operatorAddress);
	const peerServer = await startPeerServer({
		self: settings.host, address: settings.peerAddress, keys: settings.peerKeys, clock, metrics,
		handlers: createPeerHandlers({...network, ...requestHandling, claimStore: requestHandling.claims.owner}),
	});
	await network.membership.listen();
	await listen(callerServer, settings.callerAddress);
	await network.membership.start();
	startLoadUpdates(infrastructure, network, overloadMonitor);
	logger.info('listening', {host: settings.host, callers: settings.callerAddress});
	const configure = async (): Promise<void> => {
		await network.follower.start();
		logger.info('started', {host: settings.host, callers: settings.callerAddress, ready: getReadiness({...network, shutdown}).ready});
	};

	return {
		started: configure(),
		stop(reason) {
			shutdown.terminate(reason);
		},
		reportFault(fault) {
			metrics.count('unhandled_faults_total');
			logger.error('unhandled-fault', {detail: fault instanceof Error ? fault.stack : String(fault)});
		},
	};
};
