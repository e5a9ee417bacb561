import type {Clock} from '@gentianlift/clock';
import type {LoadTracker} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import {getUpstreamKey, type Upstream, type UpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {RateStatement} from '../protocol.js';

/** Upstreams that say that they fall over when they have to reject too many requests in a second. All hosts together keep within the requests that such an upstream runs at a time. */
export type FragileUpstreams = {
	/** Records what an answer says of the rejections that its upstream bears. */
	observe: (upstream: Upstream, statement: RateStatement) => void;
	/** Whether this host may send another request to an upstream, by its share of the requests that a fragile one runs; always for one that isn't. */
	hasRoom: (upstream: UpstreamKey) => boolean;
	/** Forgets an incarnation of an upstream that is no longer listed. */
	remove: (upstream: UpstreamKey) => void;
};

/** Dependencies of the record of fragile upstreams. */
export type FragileUpstreamsOptions = {
	clock: Clock;
	logger: Logger;
	loads: Pick<LoadTracker, 'getOwnRunning'>;
	/** Returns the number of hosts, this one included. */
	countHosts: () => number;
	/** Whether this host is one of the `count` hosts of the fleet that are chosen for a key. */
	isAmongChosenHosts: (key: string, count: number) => boolean;
};

type FragileState = {
	slots: number;
	until: Milliseconds;
	/** Requests that this host may run there at a time, and when that was determined. */
	share: number;
	sharedAt: Milliseconds;
};

/** Time after an answer for which its upstream counts as fragile; longer than most pauses between the answers that a host gets. */
const memory: Milliseconds = 5000;
/** Time for which a share is kept, as to choose hosts takes time in a large fleet. */
const shareLifetime: Milliseconds = 100;

/** Creates a record without fragile upstreams. */
export const createFragileUpstreams = ({
	clock, logger, loads, countHosts, isAmongChosenHosts,
}: FragileUpstreamsOptions): FragileUpstreams => {
	const states = new Map<UpstreamKey, FragileState>();

	const findFragile = (upstream: UpstreamKey): FragileState | undefined => {
		const state = states.get(upstream);
		return state !== undefined && state.until > clock.monotonic() ? state : undefined;
	};

	/** Returns the requests that this host may run at an upstream at a time: an equal part, of one at least, for as many hosts as that allows. */
	const getShare = (upstream: UpstreamKey, slots: number): number => {
		const hosts = Math.max(1, Math.min(countHosts(), slots));
		return isAmongChosenHosts(`fragile:${upstream}`, hosts) ? Math.max(1, Math.floor(slots / hosts)) : 0;
	};

	/** Returns the state of a fragile upstream with the share as of now. */
	const createState = (key: UpstreamKey, slots: number): FragileState => {
		const now = clock.monotonic();
		return {
			slots, until: now + memory, share: getShare(key, slots), sharedAt: now,
		};
	};

	return {
		observe(upstream, statement) {
			const key = getUpstreamKey(upstream);
			switch (statement.kind) {
				case 'rate': {
					const isNew = findFragile(key) === undefined;
					const state = createState(key, upstream.slots);
					states.set(key, state);
					if (isNew) {
						logger.info('upstream-fragile', {upstream: key, rejections: statement.perSecond, share: state.share});
					}

					break;
				}

				case 'malformed': {
					logger.warn('fragility-unreadable', {upstream: key, text: statement.text});
					break;
				}

				case 'none': {
					break;
				}
			}
		},
		hasRoom(upstream) {
			const state = findFragile(upstream);
			if (state === undefined) {
				return true;
			}

			if (clock.monotonic() - state.sharedAt >= shareLifetime) {
				state.share = getShare(upstream, state.slots);
				state.sharedAt = clock.monotonic();
			}

			return loads.getOwnRunning(upstream) < state.share;
		},
		remove(upstream) {
			states.delete(upstream);
		},
	};
};
