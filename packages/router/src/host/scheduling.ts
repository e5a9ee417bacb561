import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import {getGroups, type Group} from '@gentianlift/policy';
import {
	createGrantClient, createGroupOwner, createQuotaClient, createQuotaOwner, createRetryBudgets, getLimits, mechanisms,
	type GrantClient, type GroupOwner, type QuotaLimit, type Mechanism, type QuotaClient, type QuotaOwner,
} from '@gentianlift/scheduler';
import type {
	ConfigurationVersion, HostId, Incarnation, PeerCalls, Settings,
} from '@gentianlift/types';
import {createLimits, type Limits} from '../limits.js';
import type {Fleet} from './fleet.js';

/** Components of a host that schedule requests and enforce limits. */
export type Scheduling = {
	groupOwner: GroupOwner;
	grants: GrantClient;
	quotaOwner: QuotaOwner;
	quota: QuotaClient;
	limits: Limits;
	getGroups: () => readonly Group[];
	applyConfiguration: (version: ConfigurationVersion) => void;
	stop: () => void;
};

/** Dependencies of the scheduling components. */
export type SchedulingOptions = {
	settings: Settings;
	incarnation: Incarnation;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	fleet: Fleet;
	peers: PeerCalls;
};

const getMechanisms = (names: readonly string[]): Mechanism[] => mechanisms.filter(name => names.includes(name));

const createGrantPush = (self: HostId, peers: PeerCalls, metrics: Metrics, getGrants: () => GrantClient) =>
	(host: HostId, answer: Parameters<GrantClient['applyDecisions']>[0]): void => {
		if (host === self) {
			getGrants().applyDecisions(answer);
			return;
		}

		metrics.count('grant_pushes_total');
		// A lost push needs no retry: the next heartbeat of the host that requested the grants recovers them.
		void peers.pushGrants(host, answer);
	};

/** Creates the components of a host that schedule requests and enforce limits. */
export const createScheduling = ({settings, incarnation, clock, random, metrics, fleet, peers}: SchedulingOptions): Scheduling => {
	const {host: self} = settings;
	// Scheduler mechanisms that the settings disable.
	const disabledMechanisms = getMechanisms(settings.without);
	let groups: readonly Group[] = [];
	let limits: ReadonlyMap<string, QuotaLimit> = new Map();
	let currentVersion: ConfigurationVersion | undefined;
	const sharedOptions = {
		clock, random, metrics, self, peers, getHosts: fleet.getHosts, getOwnerOf: fleet.getOwnerOf, getLimits: () => limits,
	};
	const groupOwner = createGroupOwner({...sharedOptions, disabledMechanisms, push: createGrantPush(self, peers, metrics, () => grants)});
	const grants: GrantClient = createGrantClient({
		...sharedOptions, incarnation, disabledMechanisms, order: settings.order, getLocalOwner: () => groupOwner, getGroups: () => groups,
	});
	const quotaOwner = createQuotaOwner(sharedOptions);
	const quota = createQuotaClient({...sharedOptions, getLocalOwner: () => quotaOwner});
	return {
		groupOwner,
		grants,
		quotaOwner,
		quota,
		limits: createLimits({quota, budgets: createRetryBudgets(), getConfiguration: () => currentVersion?.configuration}),
		getGroups: () => groups,
		applyConfiguration(version) {
			currentVersion = version;
			groups = getGroups(version.configuration);
			limits = getLimits(version.configuration);
			groupOwner.applyConfiguration(version);
		},
		stop() {
			groupOwner.stop();
			grants.stop();
			quota.stop();
		},
	};
};
