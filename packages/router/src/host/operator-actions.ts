import {createFailure} from '@gentianlift/errors';
import type {ConfigurationFollower} from '@gentianlift/distribution';
import {logLevels, type Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Account, Incarnation, Settings} from '@gentianlift/types';
import {z} from 'zod';
import type {Directory} from '../directory.js';
import type {OpenRequests} from '../open-requests.js';
import type {OperatorCommands} from '../operators/commands/index.js';
import type {OperatorActions} from '../operators/operator-server.js';
import type {
	HostStatus, OperatorQueries, Readiness, UpstreamStatus,
} from '../operators/queries/index.js';
import type {Fleet} from './fleet.js';
import type {GracefulStop} from './graceful-stop.js';
import type {Orderers} from './orderers.js';
import type {Overload} from './overload.js';
import type {UpstreamWatch} from './upstream-watch.js';

/** What the operators' listener answers from. */
export type OperatorActionsOptions = {
	settings: Settings;
	incarnation: Incarnation;
	logger: Logger;
	metrics: Metrics;
	follower: ConfigurationFollower;
	fleet: Fleet;
	orderers: Orderers;
	overload: Overload;
	watch: UpstreamWatch;
	graceful: GracefulStop;
	open: OpenRequests;
	getDirectory: () => Directory;
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

/** Gets whether a host takes requests. */
export const getReadiness = ({follower, graceful}: Pick<OperatorActionsOptions, 'follower' | 'graceful'>): Readiness => {
	if (graceful.getState().kind !== 'serving') {
		return {ready: false, reason: graceful.getState().kind};
	}

	const standing = follower.getStanding();
	switch (standing) {
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
	const {settings, incarnation, follower, orderers, overload, graceful, open} = options;
	const {waiting} = orderers.grants.getCounts();
	return {
		host: settings.host,
		zone: settings.zone,
		incarnation,
		state: graceful.getState().kind === 'serving' ? 'alive' : 'draining',
		ready: getReadiness(options).ready,
		configurationVersion: follower.getCurrent()?.version ?? 0,
		configurationConfirmed: follower.isConfirmed(),
		requests: {waiting, running: open.getCount() - waiting},
		eventLoopLag: overload.getLag(),
	};
};

const getUpstreams = ({orderers, fleet, watch, getDirectory}: OperatorActionsOptions): UpstreamStatus[] => {
	const overviews = new Map(orderers.groupOwner.getOverview().map(overview => [overview.group, overview]));
	return orderers.getGroups().flatMap(group => group.upstreams.map(({id}) => {
		const overview = overviews.get(group.id);
		return {
			id,
			zone: getDirectory().byId.get(id)?.zone ?? '',
			group: group.id,
			owner: fleet.getOwnerOf(group.id),
			standing: watch.getStanding(id),
			running: overview?.upstreams.find(({upstream}) => upstream === id)?.running ?? 0,
			waiting: overview?.ranks.reduce((sum, {waiting}) => sum + waiting, 0) ?? 0,
		};
	}));
};

const createQueries = (options: OperatorActionsOptions): OperatorQueries => ({
	getHealth: () => ({healthy: true}),
	getReadiness: () => getReadiness(options),
	getMetrics: options.metrics.getPage,
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

const createCommands = ({graceful, watch, logger, getDirectory}: OperatorActionsOptions): OperatorCommands => ({
	drain(body) {
		const {force} = parse(drainBody, body);
		return {state: (force === true ? graceful.force() : graceful.begin('operator')).kind};
	},
	undrain: () => ({state: graceful.undo().kind}),
	setUpstreamDrain(upstream, drain) {
		if (!getDirectory().byId.has(upstream)) {
			throw createFailure('bad-request', {detail: `No upstream is named ${upstream}.`});
		}

		watch.setOperatorDrain(upstream, drain);
		return {upstream, leaving: drain};
	},
	setLogLevel(body) {
		const {level} = parse(levelBody, body);
		logger.setLevel(level);
		return {level};
	},
});

/** Creates what the operators' listener answers with. */
export const createOperatorActions = (options: OperatorActionsOptions): OperatorActions => ({
	queries: createQueries(options),
	commands: createCommands(options),
});
