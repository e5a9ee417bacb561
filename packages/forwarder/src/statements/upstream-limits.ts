import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import {
	countLimitHosts, createPermits, getLimitShare, getTimeToPermits, refillPermits, type LimitNews, type Permits, type RequestLimit, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {RateStatement} from '../protocol.js';

/** A call's claim on a permit of a limited upstream, from the choice of the upstream until the call is sent or has ended. */
export type PermitClaim = {
	/** Takes a permit when the call is sent; returns false if it must not be sent, as a limit has become known in the meantime. */
	take: () => boolean;
	/** Gives up the claim if no permit was taken. */
	release: () => void;
};

/** An answer of an upstream, as far as it concerns the upstream's limit. */
export type LimitObservation = {
	upstream: UpstreamKey;
	statement: RateStatement;
	/** When the request was sent; an answer without a limit ends only one that was named before. */
	sentAt: Milliseconds;
};

/** Limits on requests that upstreams have named, and this host's share of them. */
export type UpstreamLimits = {
	/** Records what an answer says. */
	observe: (observation: LimitObservation) => void;
	/** Records what another host knows; older news is ignored. */
	applyNews: (news: LimitNews, from: string) => void;
	/** Returns what answers have told this host itself, to be repeated to the others; what it passed on second-hand would look newer with each report. */
	getNews: () => LimitNews[];
	/** Whether a limit of the upstream is in force. */
	isLimited: (upstream: UpstreamKey) => boolean;
	/** Returns the limit of an upstream that this host believes, in requests a second. */
	getLimit: (upstream: UpstreamKey) => RequestLimit;
	/** Returns the number of limits in force. */
	countLimits: () => number;
	/** Whether this host may choose the upstream for a call now. */
	hasPermit: (upstream: UpstreamKey) => boolean;
	/** Claims a permit for a call for which the upstream was chosen. */
	claim: (upstream: UpstreamKey) => PermitClaim;
	/** Returns the time until this host may choose the upstream for the `position`-th of the calls that wait for permits; infinite if it has no share. */
	getWait: (upstream: UpstreamKey, position: number) => Milliseconds;
	/** Forgets an upstream that is no longer listed. */
	remove: (upstream: UpstreamKey) => void;
};

/** Dependencies of the limits. */
export type UpstreamLimitsOptions = {
	clock: Clock;
	logger: Logger;
	/** Returns the number of hosts that share limits, this one included. */
	countHosts: () => number;
	/** Whether this host is one of the `count` hosts of the fleet that are chosen for a key. */
	isAmongChosenHosts: (key: string, count: number) => boolean;
	/** Tells the other hosts of a limit that has begun, changed or ended. */
	announce: (news: LimitNews) => void;
};

type LimitState = {
	limit: RequestLimit;
	/** When an answer last named the limit, or showed its end. */
	observedAt: Milliseconds;
	/** Whether that was an answer to this host. */
	isOwn: boolean;
	permits: Permits;
	/** This host's share in requests a second, as of `sharedAt`. */
	share: number;
	sharedAt: Milliseconds;
};

/** Maximum number of upstreams whose limits are kept. */
const maxLimits = 2000;
/** Source of what answers have told this host itself, in log lines. */
export const ownSource = 'own';
/** Maximum number of limits that are repeated at a time. */
const maxRepeatedNews = 100;
/** Time for which the end of a limit is repeated to the other hosts. */
const endRepeatPeriod: Milliseconds = 10_000;
/** Time for which a share is kept, as to choose hosts takes time in a large fleet. */
const shareLifetime: Milliseconds = 100;

/** Creates the limits of a host that knows of none. */
export const createUpstreamLimits = ({
	clock, logger, countHosts, isAmongChosenHosts, announce,
}: UpstreamLimitsOptions): UpstreamLimits => {
	/** What is known of upstreams that have named a limit. */
	const states = new Map<UpstreamKey, LimitState>();
	/** Numbers of calls that have claimed a permit and not taken it yet, where there are any. */
	const claims = new Map<UpstreamKey, number>();

	const addClaims = (upstream: UpstreamKey, change: number): void => {
		const count = (claims.get(upstream) ?? 0) + change;
		if (count === 0) {
			claims.delete(upstream);
		} else {
			claims.set(upstream, count);
		}
	};

	const getState = (upstream: UpstreamKey): LimitState => {
		const known = states.get(upstream);
		if (known !== undefined) {
			return known;
		}

		const now = clock.monotonic();
		const state = {
			limit: undefined, observedAt: Number.NEGATIVE_INFINITY, isOwn: false, permits: createPermits(now), share: 0, sharedAt: Number.NEGATIVE_INFINITY,
		};
		states.set(upstream, state);
		for (const key of states.keys()) {
			if (states.size <= maxLimits) {
				break;
			}

			states.delete(key);
		}

		return state;
	};

	/** Brings the share and the permits of a limited upstream up to date. */
	const refresh = (upstream: UpstreamKey, state: LimitState, limit: number): void => {
		const now = clock.monotonic();
		if (now - state.sharedAt >= shareLifetime) {
			const hosts = countHosts();
			state.share = isAmongChosenHosts(`limit:${upstream}`, countLimitHosts(limit, hosts)) ? getLimitShare(limit, hosts) : 0;
			state.sharedAt = now;
		}

		state.permits = refillPermits(state.permits, state.share, now);
	};

	/** Records an observation; returns whether it changes the limit. */
	const setLimit = (upstream: UpstreamKey, limit: RequestLimit, observedAt: Milliseconds, source: string): boolean => {
		const state = getState(upstream);
		const previous = state.limit;
		state.observedAt = observedAt;
		state.isOwn = source === ownSource;
		if (previous === limit) {
			return false;
		}

		if (previous === undefined) {
			state.permits = createPermits(clock.monotonic());
		}

		state.limit = limit;
		state.sharedAt = Number.NEGATIVE_INFINITY;
		logger.info('limit-changed', {
			upstream, limit, previous, source, age: Math.round(clock.monotonic() - observedAt),
		});
		return true;
	};

	/** Returns the state of an upstream with a limit in force, up to date; undefined without a limit. */
	const findLimited = (upstream: UpstreamKey): LimitState | undefined => {
		const state = states.get(upstream);
		if (state?.limit === undefined) {
			return undefined;
		}

		refresh(upstream, state, state.limit);
		return state;
	};

	return {
		observe({upstream, statement, sentAt}) {
			const known = states.get(upstream);
			const now = clock.monotonic();
			switch (statement.kind) {
				case 'rate': {
					if (setLimit(upstream, statement.perSecond, now, ownSource)) {
						announce({upstream, limit: statement.perSecond, age: 0});
					}

					break;
				}

				case 'none': {
					// Also confirms an end, so that it is repeated to hosts that were away.
					if (known !== undefined && sentAt > known.observedAt && setLimit(upstream, undefined, now, ownSource)) {
						announce({upstream, limit: undefined, age: 0});
					}

					break;
				}

				case 'malformed': {
					logger.warn('limit-unreadable', {upstream, text: statement.text});
					break;
				}
			}
		},
		applyNews({upstream, limit, age}, from) {
			const observedAt = clock.monotonic() - age;
			const known = states.get(upstream);
			if (observedAt > (known?.observedAt ?? Number.NEGATIVE_INFINITY) && (limit !== undefined || known !== undefined)) {
				setLimit(upstream, limit, observedAt, from);
			}
		},
		getNews() {
			const now = clock.monotonic();
			const own = [...states].filter(([, {isOwn}]) => isOwn);
			const news = own.map(([upstream, {limit, observedAt}]) => ({upstream, limit, age: Math.round(now - observedAt)}));
			return news.filter(({limit, age}) => limit !== undefined || age <= endRepeatPeriod).slice(-maxRepeatedNews);
		},
		isLimited: upstream => states.get(upstream)?.limit !== undefined,
		getLimit: upstream => states.get(upstream)?.limit,
		countLimits: () => [...states.values()].filter(({limit}) => limit !== undefined).length,
		hasPermit(upstream) {
			const state = findLimited(upstream);
			return state === undefined || state.permits.available >= (claims.get(upstream) ?? 0) + 1;
		},
		claim(upstream) {
			addClaims(upstream, 1);
			let isOpen = true;
			const release = (): void => {
				if (isOpen) {
					addClaims(upstream, -1);
					isOpen = false;
				}
			};

			return {
				release,
				take() {
					release();
					const limited = findLimited(upstream);
					if (limited === undefined) {
						return true;
					}

					if (limited.permits.available < 1) {
						return false;
					}

					limited.permits = {...limited.permits, available: limited.permits.available - 1};
					return true;
				},
			};
		},
		getWait(upstream, position) {
			const state = findLimited(upstream);
			return state === undefined ? 0 : getTimeToPermits(state.permits, state.share, (claims.get(upstream) ?? 0) + position);
		},
		remove(upstream) {
			states.delete(upstream);
		},
	};
};
