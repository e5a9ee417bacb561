import type {HostId, Incarnation} from '@gentianlift/types';

/** Recognises datagrams that came before. */
export type ReplayWindow = {
	/** Whether a datagram is new; each is new once. */
	accept: (host: HostId, incarnation: Incarnation, sequence: number) => boolean;
	remove: (host: HostId) => void;
};

type Seen = {incarnation: Incarnation; highest: number; recent: number[]};

/** Datagrams of one sender that may overtake each other. */
const windowSize = 32;

/** Creates an empty window. */
export const createReplayWindow = (): ReplayWindow => {
	const senders = new Map<HostId, Seen>();
	return {
		accept(host, incarnation, sequence) {
			const known = senders.get(host);
			if (known !== undefined && incarnation < known.incarnation) {
				return false;
			}

			const seen = known?.incarnation === incarnation ? known : {incarnation, highest: sequence, recent: []};
			const slot = sequence % windowSize;
			if (seen.recent[slot] === sequence || sequence <= seen.highest - windowSize) {
				return false;
			}

			seen.recent[slot] = sequence;
			seen.highest = Math.max(seen.highest, sequence);
			senders.set(host, seen);
			return true;
		},
		remove(host) {
			senders.delete(host);
		},
	};
};
