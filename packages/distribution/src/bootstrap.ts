import type {Random} from '@gentianlift/clock';
import type {ConfigurationResponse, HostId, Member} from '@gentianlift/types';
import type {ActiveVersion} from './active-version.js';
import {chooseBootstrapPeers} from './peer-choice.js';
import {applyPeerResult, type PeerReader, type PeerReadResult} from './peer-reader.js';
import type {ServiceReader} from './service-reader.js';

/** Dependencies of `bootstrap`. */
export type BootstrapOptions = {
	random: Random;
	activeVersion: ActiveVersion;
	readService: ServiceReader;
	readPeer: PeerReader;
	/** Returns the other hosts that can be called. */
	getPeers: () => Member[];
	/** Returns the hosts that watch the key-value service and so receive a new version first. */
	getOwners: () => readonly HostId[];
	/** Returns the highest version number that any host has advertised; 0 if there is none. */
	getHighestAdvertisedVersion: () => number;
};

/** Maximum number of hosts that a starting host calls at once. */
const maxPeers = 16;

const getAnsweredVersion = ({answer: {newest, version}}: {answer: ConfigurationResponse}): number => newest?.version ?? version ?? 0;

/** Returns the answer with the highest version, if a majority of the called hosts answered and no higher version is advertised. */
export const choosePeerResult = (results: PeerReadResult[], highestAdvertisedVersion: number): PeerReadResult | undefined => {
	const answered = results.filter(result => result.kind === 'answered');
	const best = answered.toSorted((a, b) => getAnsweredVersion(b) - getAnsweredVersion(a))[0];
	const isMajority = answered.length * 2 > results.length;
	return best !== undefined && isMajority && getAnsweredVersion(best) >= highestAdvertisedVersion ? best : undefined;
};

const bootstrapFromPeers = async (options: BootstrapOptions): Promise<boolean> => {
	const {random, activeVersion, readPeer, getPeers, getOwners, getHighestAdvertisedVersion} = options;
	const hosts = chooseBootstrapPeers(getPeers(), getOwners(), random, maxPeers);
	const results = await Promise.all(hosts.map(async host => readPeer(host)));
	const chosen = choosePeerResult(results, getHighestAdvertisedVersion());
	if (chosen === undefined) {
		return false;
	}

	applyPeerResult(activeVersion, chosen);
	return activeVersion.getState().current !== undefined;
};

/**
Obtains the first version from the key-value service, or from peers while the service can't be read.
Returns true once a version is active, or if the service holds none and no host has advertised one.
*/
export const bootstrap = async (options: BootstrapOptions): Promise<boolean> => {
	const result = await options.readService();
	switch (result) {
		case 'newer':
		case 'same': {
			return options.activeVersion.getState().current !== undefined;
		}

		case 'absent': {
			return options.getHighestAdvertisedVersion() === 0 || bootstrapFromPeers(options);
		}

		case 'unavailable': {
			return bootstrapFromPeers(options);
		}
	}
};
