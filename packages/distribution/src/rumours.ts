import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Member} from '@gentianlift/types';
import type {FollowerTimes} from './follower-options.js';
import {isWanted} from './follower-state.js';
import type {Holder} from './holder.js';
import {createLoop, type Loop} from './loop.js';
import {getHolder} from './peer-choice.js';
import {applyReading, type PeerReader} from './peer-reader.js';

/** What the fetching of rumoured versions needs. */
export type RumourOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	holder: Holder;
	times: FollowerTimes;
	readPeer: PeerReader;
	/** Other hosts that can be asked. */
	getPeers: () => Member[];
};

/** Versions that other hosts are said to hold. */
export type Rumours = {
	apply: (host: HostId, version: number) => void;
	stop: () => void;
};

const mostAttempts = 8;

/** Creates the fetching of rumoured versions: one call at a time, from a random host that holds the version. */
export const createRumours = ({clock, random, metrics, holder, times, readPeer, getPeers}: RumourOptions): Rumours => {
	let wanted = {host: '', version: 0};
	let attempts = 0;
	let loop: Loop | undefined;

	const stop = (): void => {
		loop?.stop();
		loop = undefined;
	};

	const fetch = async (): Promise<number> => {
		const host = getHolder(getPeers(), wanted.version, random) ?? wanted.host;
		metrics.count('configuration_fetch');
		applyReading(holder, await readPeer(host));
		attempts++;
		if (!isWanted(holder.getState(), wanted.version) || attempts >= mostAttempts) {
			stop();
		}

		return times.retryInterval;
	};

	return {
		apply(host, version) {
			if (!isWanted(holder.getState(), version) || version < wanted.version) {
				return;
			}

			wanted = {host, version};
			attempts = 0;
			if (loop === undefined) {
				loop = createLoop(clock, fetch);
				loop.start(random.next() * getPeers().length * times.fetchSpread);
			}
		},
		stop,
	};
};
