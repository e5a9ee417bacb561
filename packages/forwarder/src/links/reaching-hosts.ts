import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {ReachSurvey} from './find-reaching-hosts.js';
import type {ReachingHost} from './forwarding-hosts.js';

/** The hosts that are known to reach the upstreams of a service to which this host's links are cut. */
export type ReachingHosts = {
	get: () => readonly ReachingHost[];
	/** Replaces them by hosts that have just answered. */
	set: (hosts: readonly ReachingHost[]) => void;
	/** Asks the other hosts if none is known or the last answers are old. */
	refresh: () => Promise<void>;
	/** Asks the other hosts, as the known ones have failed, unless they were asked just now. */
	renew: () => Promise<void>;
};

/** Dependencies of the list of hosts. */
export type ReachingHostsOptions = {
	clock: Clock;
	/** Asks the other hosts. */
	find: () => Promise<ReachSurvey>;
	/** Called when other hosts are known than before the last question. */
	onChange: (hosts: readonly ReachingHost[]) => void;
};

/** Age of the answers from which on the hosts are asked again, and the least one if the known hosts have failed. */
const askInterval: Milliseconds = 1000;
const minAskInterval: Milliseconds = 200;

const getNames = (hosts: readonly ReachingHost[]): string => hosts.map(({record}) => record.host).toSorted().join(',');

/** Creates an empty list. */
export const createReachingHosts = ({clock, find, onChange}: ReachingHostsOptions): ReachingHosts => {
	let hosts: readonly ReachingHost[] = [];
	let askedAt = Number.NEGATIVE_INFINITY;
	let asking: Promise<void> | undefined;

	const set = (next: readonly ReachingHost[]): void => {
		hosts = next;
		askedAt = clock.monotonic();
	};

	const getAge = (): Milliseconds => clock.monotonic() - askedAt;

	/** Asks the other hosts; the known ones are kept if too few answer. */
	const ask = async (): Promise<void> => {
		const {reaching, isAnswered} = await find();
		const before = getNames(hosts);
		set(reaching.length > 0 || isAnswered ? reaching : hosts);
		if (getNames(hosts) !== before) {
			onChange(hosts);
		}
	};

	/** Asks once for all that ask at the same time. */
	const askOnce = async (): Promise<void> => {
		asking ??= ask().finally(() => {
			asking = undefined;
		});
		return asking;
	};

	return {
		get: () => hosts,
		set,
		async refresh() {
			if (hosts.length === 0 || getAge() >= askInterval) {
				await askOnce();
			}
		},
		async renew() {
			if (getAge() >= minAskInterval) {
				await askOnce();
			}
		},
	};
};
