import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {UpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {RestStatement} from '../protocol.js';

/** An answer by which an upstream has turned a request of this host away. */
export type RestObservation = {upstream: UpstreamKey; statement: RestStatement; request: string | undefined};

/** Upstreams that want no requests from this host for a time. Other hosts aren't bound by it. */
export type UpstreamRests = {
	/** Records what an answer says; a rest that ends later than the one in force extends it, and nothing shortens it. */
	observe: (observation: RestObservation) => void;
	isResting: (upstream: UpstreamKey) => boolean;
	/** Returns the time until the upstream's rest ends; 0 without one. */
	getRemaining: (upstream: UpstreamKey) => Milliseconds;
	/** Returns the number of upstreams that rest. */
	countResting: () => number;
	/** Forgets an incarnation of an upstream that is no longer listed. */
	remove: (upstream: UpstreamKey) => void;
};

/** Dependencies of the rests. */
export type UpstreamRestsOptions = {clock: Clock; random: Random; logger: Logger};

/** Part of a rest, and longest time, by which a host extends it at random, so that hosts with the same rest don't return at once. */
const maxExtensionPart = 0.1;
const maxExtension: Milliseconds = 300;

/** Creates rests of which none is in force. */
export const createUpstreamRests = ({clock, random, logger}: UpstreamRestsOptions): UpstreamRests => {
	/** Ends of rests on the monotonic clock. */
	const ends = new Map<UpstreamKey, Milliseconds>();

	const getRemaining = (upstream: UpstreamKey): Milliseconds =>
		Math.max(0, (ends.get(upstream) ?? Number.NEGATIVE_INFINITY) - clock.monotonic());

	const extend = (upstream: UpstreamKey, duration: Milliseconds, request: string | undefined): void => {
		const extension = random.next() * Math.min(maxExtension, duration * maxExtensionPart);
		const end = clock.monotonic() + duration + extension;
		if (duration > 0 && end > (ends.get(upstream) ?? Number.NEGATIVE_INFINITY)) {
			ends.set(upstream, end);
			logger.info('upstream-rests', {
				upstream, request, asked: duration, for: Math.round(duration + extension),
			});
		}
	};

	return {
		observe({upstream, statement, request}) {
			switch (statement.kind) {
				case 'rest': {
					extend(upstream, statement.duration, request);
					break;
				}

				case 'malformed': {
					logger.warn('rest-unreadable', {upstream, request, text: statement.text});
					break;
				}

				case 'none': {
					break;
				}
			}
		},
		isResting: upstream => getRemaining(upstream) > 0,
		getRemaining,
		countResting: () => [...ends.keys()].filter(upstream => getRemaining(upstream) > 0).length,
		remove(upstream) {
			ends.delete(upstream);
		},
	};
};
