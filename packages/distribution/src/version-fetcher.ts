import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Member} from '@gentianlift/types';
import type {ActiveVersion} from './active-version.js';
import type {FollowerTimings} from './follower-options.js';
import {isCandidateVersion} from './follower-state.js';
import {createLoop, type Loop} from './loop.js';
import {pickHostWithVersion} from './peer-choice.js';
import {applyPeerResult, type PeerReader} from './peer-reader.js';

/** Dependencies of the version fetcher. */
export type VersionFetcherOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	activeVersion: ActiveVersion;
	timings: FollowerTimings;
	readPeer: PeerReader;
	/** Returns the other hosts that can be called. */
	getPeers: () => Member[];
};

/** Fetches versions that other hosts advertise. */
export type VersionFetcher = {
	/** Requests a version that a host advertises; ignored unless it is newer than the active and the requested one. */
	requestVersion: (host: HostId, version: number) => void;
	stop: () => void;
};

/** Maximum number of attempts to fetch one version. */
const maxFetchAttempts = 8;

/** Creates a version fetcher. It makes one call at a time, to a random host that advertises the version. */
export const createVersionFetcher = ({clock, random, metrics, activeVersion, timings, readPeer, getPeers}: VersionFetcherOptions): VersionFetcher => {
	let target = {host: '', version: 0};
	let attempts = 0;
	let loop: Loop | undefined;

	const stop = (): void => {
		loop?.stop();
		loop = undefined;
	};

	const fetchVersion = async (): Promise<number> => {
		const host = pickHostWithVersion(getPeers(), target.version, random) ?? target.host;
		metrics.count('configuration_fetch');
		applyPeerResult(activeVersion, await readPeer(host));
		attempts++;
		if (!isCandidateVersion(activeVersion.getState(), target.version) || attempts >= maxFetchAttempts) {
			stop();
		}

		return timings.retryInterval;
	};

	return {
		requestVersion(host, version) {
			if (!isCandidateVersion(activeVersion.getState(), version) || version < target.version) {
				return;
			}

			target = {host, version};
			attempts = 0;
			if (loop === undefined) {
				loop = createLoop(clock, fetchVersion);
				loop.start(random.next() * getPeers().length * timings.fetchDelayPerHost);
			}
		},
		stop,
	};
};
