import type {Random} from '@gentianlift/clock';
import type {ConfigurationAnswer, HostId, Member} from '@gentianlift/types';
import type {Holder} from './holder.js';
import {getStartPeers} from './peer-choice.js';
import {applyReading, type PeerReader, type PeerReading} from './peer-reader.js';
import type {ServiceReader} from './service-reader.js';

/** What a host needs that learns its first version. */
export type LearningOptions = {
	random: Random;
	holder: Holder;
	readService: ServiceReader;
	readPeer: PeerReader;
	/** Other hosts that can be asked. */
	getPeers: () => Member[];
	/** Hosts that learn of a version first. */
	getOwners: () => readonly HostId[];
	/** Highest version that any host is said to hold or have held. */
	getHighestRumour: () => number;
};

/** Most hosts that a starting host asks at once. */
const mostPeers = 16;

const getAnswered = ({answer: {newest, version}}: {answer: ConfigurationAnswer}): number => newest?.version ?? version ?? 0;

/** Gets the answer with the highest version, if enough of those asked answered and none is said to hold a higher one. */
export const chooseReading = (readings: PeerReading[], highestRumour: number): PeerReading | undefined => {
	const answered = readings.filter(reading => reading.kind === 'answered');
	const best = answered.toSorted((a, b) => getAnswered(b) - getAnswered(a))[0];
	const isEnough = answered.length * 2 > readings.length;
	return best !== undefined && isEnough && getAnswered(best) >= highestRumour ? best : undefined;
};

const learnFromPeers = async (options: LearningOptions): Promise<boolean> => {
	const {random, holder, readPeer, getPeers, getOwners, getHighestRumour} = options;
	const hosts = getStartPeers(getPeers(), getOwners(), random, mostPeers);
	const readings = await Promise.all(hosts.map(async host => readPeer(host)));
	const chosen = chooseReading(readings, getHighestRumour());
	if (chosen === undefined) {
		return false;
	}

	applyReading(holder, chosen);
	return holder.getState().current !== undefined;
};

/**
Learns the first version: from the service, or from peers while the service can't be read.
True once a version is in force or the service says that there is none.
*/
export const learnInitially = async (options: LearningOptions): Promise<boolean> => {
	const result = await options.readService();
	switch (result) {
		case 'newer':
		case 'same': {
			return options.holder.getState().current !== undefined;
		}

		case 'absent': {
			return options.getHighestRumour() === 0 || learnFromPeers(options);
		}

		case 'unavailable': {
			return learnFromPeers(options);
		}
	}
};
