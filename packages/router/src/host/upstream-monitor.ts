import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Membership} from '@gentianlift/membership';
import type {Metrics} from '@gentianlift/metrics';
import type {Group} from '@gentianlift/policy';
import type {GroupOwner} from '@gentianlift/scheduler';
import {
	createUpstreamHealth, type LeavingSource, type UpstreamClient, type UpstreamHealth,
} from '@gentianlift/upstream';
import type {
	HostId, HostList, EngineLoadReport, Milliseconds, Announcement, UpstreamAvailability, UpstreamId, UpstreamObservation,
} from '@gentianlift/types';
import type {UpstreamDirectory} from '../upstream-directory.js';

/** Health of upstreams as seen by this host, from its own traffic, other hosts, load reports, the host list and operators. */
export type UpstreamMonitor = {
	/** Records what an attempt of this host has shown about an upstream. */
	recordObservation: (observation: UpstreamObservation) => void;
	/** Records a load report; if the engine is leaving, announces this to all hosts. */
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport) => void;
	/** Announces to all hosts that an operator drains an upstream, or has ended the drain. */
	setOperatorDrain: (upstream: UpstreamId, isLeaving: boolean) => void;
	getAvailability: (upstream: UpstreamId) => UpstreamAvailability;
	stop: Cancel;
};

/** Dependencies of the monitor. */
export type UpstreamMonitorOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	logger: Logger;
	self: HostId;
	membership: Membership;
	hostList: HostList;
	upstreams: Pick<UpstreamClient, 'checkHealth'>;
	groupOwner: GroupOwner;
	getGroups: () => readonly Group[];
	getDirectory: () => UpstreamDirectory;
};

const availabilityCheckInterval: Milliseconds = 200;
const pollInterval: Milliseconds = 1000;
/** Lifetimes of announcements to other hosts. */
const failureLifetime: Milliseconds = 10_000;
const leavingLifetime: Milliseconds = 30_000;
const operatorDrainLifetime: Milliseconds = 24 * 60 * 60 * 1000;

const observationKinds = ['success', 'refused', 'unreachable', 'reset', 'silent', 'error', 'leaving', 'crashed'] as const satisfies ReadonlyArray<UpstreamObservation['kind']>;

/** Applies an announcement of another host to the health of upstreams. */
const applyAnnouncement = (health: UpstreamHealth, clock: Clock, announcement: Announcement): void => {
	switch (announcement.topic) {
		case 'upstream-failed': {
			const kind = observationKinds.find(name => name === announcement.value);
			if (kind !== undefined) {
				health.record({upstream: announcement.key, at: clock.monotonic(), kind}, announcement.host);
			}

			break;
		}

		case 'upstream-leaving': {
			const source: LeavingSource = announcement.value.startsWith('operator') ? 'operator' : 'upstream';
			health.setLeaving(announcement.key, source, !announcement.value.endsWith('back') && announcement.value !== '');
			break;
		}

		case 'suspect-request': {
			// The exchange of suspects handles this topic.
			break;
		}
	}
};

/** Creates a check that passes changes of an upstream's availability on to the owner of its group. */
const createAvailabilityCheck = (health: UpstreamHealth, {groupOwner, getDirectory, logger}: UpstreamMonitorOptions) => {
	const reportedAvailabilities = new Map<UpstreamId, UpstreamAvailability>();
	return (): void => {
		for (const id of getDirectory().byId.keys()) {
			const availability = health.getAvailability(id);
			if (availability !== (reportedAvailabilities.get(id) ?? 'available')) {
				reportedAvailabilities.set(id, availability);
				groupOwner.applyAvailability(id, availability);
				logger.info('upstream-standing', {upstream: id, standing: availability});
			}
		}
	};
};

const startHostListPolling = (health: UpstreamHealth, {clock, hostList, getDirectory}: UpstreamMonitorOptions): Cancel => {
	const {every} = clock;
	const read = async (): Promise<void> => {
		const hosts = await hostList.readHosts();
		const {byAddress} = getDirectory();
		for (const {kind, address, state} of hosts ?? []) {
			const entry = kind === 'upstream' ? byAddress.get(address) : undefined;
			if (entry !== undefined) {
				health.setLeaving(entry.id, 'list', state === 'leaving');
			}
		}
	};

	return every(pollInterval, () => {
		void read();
	});
};

const startProbes = (health: UpstreamHealth, {clock, self, upstreams, getDirectory}: UpstreamMonitorOptions): Cancel => {
	const {every} = clock;
	const inFlight = new Set<UpstreamId>();
	const probe = async (id: UpstreamId): Promise<void> => {
		const address = getDirectory().byId.get(id)?.address;
		if (address === undefined || inFlight.has(id)) {
			return;
		}

		inFlight.add(id);
		const kind = await upstreams.checkHealth(address);
		inFlight.delete(id);
		if (kind !== undefined) {
			health.record({upstream: id, at: clock.monotonic(), kind}, self);
		}
	};

	return every(pollInterval, () => {
		for (const id of health.getProbingUpstreams()) {
			void probe(id);
		}
	});
};

/** Starts to monitor upstreams. */
export const startUpstreamMonitor = (options: UpstreamMonitorOptions): UpstreamMonitor => {
	const {
		clock, random, metrics, self, membership, groupOwner, getGroups,
	} = options;
	const {every} = clock;
	const health = createUpstreamHealth({
		clock, random, metrics, self, getEquivalentUpstreams: id => getGroups().find(group => group.upstreams.some(item => item.id === id))?.upstreams.map(item => item.id) ?? [id],
	});
	const checkAvailability = createAvailabilityCheck(health, options);

	const announcedAt = new Map<UpstreamId, Milliseconds>();
	const announceLeaving = (upstream: UpstreamId): void => {
		announcedAt.set(upstream, clock.monotonic());
		health.setLeaving(upstream, 'upstream', true);
		membership.publishAnnouncement({
			topic: 'upstream-leaving', key: upstream, value: 'upstream', duration: leavingLifetime,
		});
		checkAvailability();
	};

	/** Renews the announcement of an upstream that is still leaving before the previous one expires. */
	const renewLeavingAnnouncement = (upstream: UpstreamId): void => {
		const age = clock.monotonic() - (announcedAt.get(upstream) ?? Number.NEGATIVE_INFINITY);
		if (age >= leavingLifetime / 2) {
			announceLeaving(upstream);
		}
	};

	health.onEject(({upstream, kind}) => {
		membership.publishAnnouncement({
			topic: 'upstream-failed', key: upstream, value: kind, duration: failureLifetime,
		});
	});
	const cancels = [
		membership.onAnnouncement(announcement => {
			if (announcement.host !== self) {
				applyAnnouncement(health, clock, announcement);
			}
		}),
		every(availabilityCheckInterval, checkAvailability),
		startHostListPolling(health, options),
		startProbes(health, options),
	];
	return {
		recordObservation(observation) {
			metrics.count('upstream_sightings_total', {kind: observation.kind});
			health.record({...observation, at: clock.monotonic()}, self);
			if (observation.kind === 'leaving') {
				announceLeaving(observation.upstream);
			}
		},
		applyLoadReport(upstream, report) {
			if (report.leaving) {
				health.setLeaving(upstream, 'upstream', true);
				renewLeavingAnnouncement(upstream);
			} else {
				health.setLeaving(upstream, 'upstream', false);
				announcedAt.delete(upstream);
			}

			groupOwner.applyLoadReport(upstream, report);
		},
		setOperatorDrain(upstream, isLeaving) {
			health.setLeaving(upstream, 'operator', isLeaving);
			membership.publishAnnouncement({
				topic: 'upstream-leaving', key: upstream, value: isLeaving ? 'operator' : 'operator-back', duration: operatorDrainLifetime,
			});
			checkAvailability();
		},
		getAvailability: health.getAvailability,
		stop() {
			for (const cancel of cancels) {
				cancel();
			}
		},
	};
};
