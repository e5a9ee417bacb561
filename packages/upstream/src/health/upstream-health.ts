import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, UpstreamId, UpstreamSighting} from '@gentianlift/types';
import {
	applySuccess, eject, getCurrent, getReturnShare, type Ejection, type Standing,
} from './ejection.js';
import {createEvidenceLog, type EvidenceLog, type Verdict} from './evidence.js';
import {createLeaving, type LeavingSource} from './leaving.js';

/** What this host makes of the upstreams. */
export type UpstreamHealth = {
	/** Takes in what a host has seen; `host` is this one by default. */
	record: (sighting: UpstreamSighting, host?: HostId) => void;
	/** Notes that an upstream is leaving or has come back. */
	setLeaving: (upstream: UpstreamId, source: LeavingSource, isLeaving: boolean) => void;
	getStanding: (upstream: UpstreamId) => Standing;
	/** Share of its usual work that an upstream may get, from 0 to 1. */
	getShare: (upstream: UpstreamId) => number;
	/** Upstreams to probe, as only a success brings them back. */
	getProbing: () => UpstreamId[];
	/** Calls back when this host ejects an upstream, for it to be told to the others. */
	onEject: (listener: (sighting: UpstreamSighting) => void) => void;
};

/** What the health needs. */
export type UpstreamHealthOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	/** All upstreams that can do the work of one, that one included. */
	getPeers: (upstream: UpstreamId) => UpstreamId[];
};

type Health = {ejection: Ejection; evidence: EvidenceLog};

/** Share of the upstreams for one kind of work that may be ejected while they still answer. */
const ejectableShare = 0.5;

/** Creates the health of upstreams, all of them available. */
export const createUpstreamHealth = ({clock, random, metrics, self, getPeers}: UpstreamHealthOptions): UpstreamHealth => {
	const known = new Map<UpstreamId, Health>();
	const leaving = createLeaving();
	const listeners = new Set<(sighting: UpstreamSighting) => void>();

	const getHealth = (upstream: UpstreamId): Health => {
		const health = known.get(upstream) ?? {
			ejection: {kind: 'available', since: clock.monotonic(), level: 0}, evidence: createEvidenceLog(self),
		};
		known.set(upstream, health);
		health.ejection = getCurrent(health.ejection, clock.monotonic());
		return health;
	};

	const isEjected = (upstream: UpstreamId): boolean => getHealth(upstream).ejection.kind === 'ejected';

	const canEject = (upstream: UpstreamId, verdict: Verdict): boolean => {
		if (verdict === 'down') {
			return true;
		}

		const peers = getPeers(upstream);
		const ejected = peers.filter(peer => isEjected(peer)).length;
		return ejected + 1 <= peers.length * ejectableShare;
	};

	const applyVerdict = (health: Health, sighting: UpstreamSighting, host: HostId): void => {
		const {upstream, kind} = sighting;
		const isProbeFailed = health.ejection.kind === 'probing' && host === self && kind !== 'success' && kind !== 'refused';
		const verdict = isProbeFailed ? 'failing' : health.evidence.getVerdict(clock.monotonic());
		if (verdict === 'healthy' || health.ejection.kind === 'ejected') {
			return;
		}

		if (!canEject(upstream, verdict)) {
			metrics.count('upstream_ejections_capped');
			return;
		}

		health.ejection = eject(health.ejection, clock.monotonic(), random);
		health.evidence.clear();
		metrics.count('upstream_ejections', {reason: kind});
		if (host === self) {
			for (const listener of listeners) {
				listener(sighting);
			}
		}
	};

	const record = (sighting: UpstreamSighting, host: HostId = self): void => {
		const health = getHealth(sighting.upstream);
		const now = clock.monotonic();
		if (sighting.kind === 'leaving') {
			leaving.set(sighting.upstream, 'upstream', true, now);
			return;
		}

		if (sighting.kind === 'unreachable' && host === self) {
			// What was leaving has left: if it comes back, it is a new process.
			leaving.set(sighting.upstream, 'upstream', false, now);
		}

		health.evidence.add({...sighting, at: now, host});
		if (sighting.kind === 'success' && host === self) {
			health.ejection = applySuccess(health.ejection, now);
		}

		applyVerdict(health, sighting, host);
	};

	return {
		record,
		setLeaving(upstream, source, isLeaving) {
			leaving.set(upstream, source, isLeaving, clock.monotonic());
		},
		getStanding(upstream) {
			return leaving.has(upstream, clock.monotonic()) ? 'leaving' : getHealth(upstream).ejection.kind;
		},
		getShare(upstream) {
			return leaving.has(upstream, clock.monotonic()) ? 0 : getReturnShare(getHealth(upstream).ejection, clock.monotonic());
		},
		getProbing: () => [...known.keys()].filter(upstream => getHealth(upstream).ejection.kind === 'probing'),
		onEject(listener) {
			listeners.add(listener);
		},
	};
};
