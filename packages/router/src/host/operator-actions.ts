import {createFailure} from '@gentianlift/errors';
import type {ConfigurationFollower} from '@gentianlift/distribution';
import {logLevels, type Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Account, Incarnation, Settings} from '@gentianlift/types';
import {z} from 'zod';
import type {UpstreamDirectory} from '../upstream-directory.js';
import type {InFlightRequests} from '../in-flight-requests.js';
import type {OperatorCommands} from '../operators/commands/index.js';
import type {OperatorActions} from '../operators/operator-server.js';
import type {
	HostStatus, OperatorQueries, Readiness, UpstreamStatus,
} from '../operators/queries/index.js';
import type {Fleet} from './fleet.js';
import type {GracefulShutdown} from './graceful-shutdown.js';
import type {Scheduling} from './scheduling.js';
import type {OverloadMonitor} from './overload-monitor.js';
import type {UpstreamMonitor} from './upstream-monitor.js';

/** Dependencies of the operators' listener. */
export type OperatorActionsOptions = {
	settings: Settings;
	incarnation: Incarnation;
	logger: Logger;
	metrics: Metrics;
	follower: ConfigurationFollower;
	fleet: Fleet;
	scheduling: Scheduling;
	overloadMonitor: OverloadMonitor;
	upstreamMonitor: UpstreamMonitor;
	shutdown: GracefulShutdown;
	inFlightRequests: InFlightRequests;
	getDirectory: () => UpstreamDirectory;
	readAccount: (id: string) => Promise<Account | undefined>;
};

const drainBody = z.object({force: z.boolean().optional()});
const levelBody = z.object({level: z.enum(logLevels)});

const parse = <Body>(schema: z.ZodType<Body>, body: unknown): Body => {
	const parsed = schema.safeParse(body);
	if (!parsed.success) {
		throw createFailure('bad-request', {detail: z.prettifyError(parsed.error)});
	}

	return parsed.data;
};

/** Returns whether a host is ready for requests, and the reason if it isn't. */
export const getReadiness = ({follower, shutdown}: Pick<OperatorActionsOptions, 'follower' | 'shutdown'>): Readiness => {
	if (shutdown.getState().kind !== 'serving') {
		return {ready: false, reason: shutdown.getState().kind};
	}

	const status = follower.getStatus();
	switch (status) {
		case 'none': {
			return {ready: false, reason: 'no configuration'};
		}

		case 'isolated': {
			return {ready: false, reason: 'neither the key-value service nor a host answers'};
		}

		case 'confirmed':
		case 'unconfirmed': {
			return {ready: true};
		}
	}
};

const getStatus = (options: OperatorActionsOptions): HostStatus => {
	const {settings, incarnation, follower, scheduling, overloadMonitor, shutdown, inFlightRequests} = options;
	const {waiting} = scheduling.grants.getCounts();
	return {
		host: settings.host,
		zone: settings.zone,
		incarnation,
		state: shutdown.getState().kind === 'serving' ? 'alive' : 'draining',
		ready: getReadiness(options).ready,
		configurationVersion: follower.getCurrent()?.version ?? 0,
		configurationConfirmed: follower.isConfirmed(),
		requests: {waiting, running: inFlightRequests.getCount() - waiting},
		eventLoopLag: overloadMonitor.getLag(),
	};
};

const getUpstreams = ({scheduling, fleet, upstreamMonitor, getDirectory}: OperatorActionsOptions): UpstreamStatus[] => {
	const overviews = new Map(scheduling.groupOwner.getOverview().map(overview => [overview.group, overview]));
	return scheduling.getGroups().flatMap(group => group.upstreams.map(({id}) => {
		const overview = overviews.get(group.id);
		return {
			id,
			zone: getDirectory().byId.get(id)?.zone ?? '',
			group: group.id,
			owner: fleet.getOwnerOf(group.id),
			standing: upstreamMonitor.getAvailability(id),
			running: overview?.upstreams.find(({upstream}) => upstream === id)?.running ?? 0,
			waiting: overview?.ranks.reduce((sum, {waiting}) => sum + waiting, 0) ?? 0,
		};
	}));
};

const createQueries = (options: OperatorActionsOptions): OperatorQueries => ({
	getHealth: () => ({healthy: true}),
	getReadiness: () => getReadiness(options),
	getMetrics: options.metrics.renderPrometheusText,
	getStatus: () => getStatus(options),
	getHosts: () => ({hosts: [...options.fleet.getMembers()]}),
	getUpstreams: () => ({upstreams: getUpstreams(options)}),
	async readAccount(id) {
		const account = await options.readAccount(id);
		if (account === undefined) {
			throw createFailure('unknown-request');
		}

		return account;
	},
});

const createCommands = ({shutdown, upstreamMonitor, logger, getDirectory}: OperatorActionsOptions): OperatorCommands => ({
	drain(body) {
		const {force} = parse(drainBody, body);
		return {state: (force === true ? shutdown.force() : shutdown.begin('operator')).kind};
	},
	undrain() {
		const {kind} = shutdown.cancel();
		if (kind === 'stopping') {
			throw createFailure('host-stopping', {detail: 'The drain can no longer be cancelled.'});
		}

		return {state: kind};
	},
	setUpstreamDrain(upstream, isDraining) {
		if (!getDirectory().byId.has(upstream)) {
			throw createFailure('bad-request', {detail: `No upstream is named ${upstream}.`});
		}

		upstreamMonitor.setOperatorDrain(upstream, isDraining);
		return {upstream, leaving: isDraining};
	},
	setLogLevel(body) {
		const {level} = parse(levelBody, body);
		logger.setLevel(level);
		return {level};
	},
});

/** Creates the queries and commands of the operators' listener. */
export const createOperatorActions = (options: OperatorActionsOptions): OperatorActions => ({
	queries: createQueries(options),
	commands: createCommands(options),
});
