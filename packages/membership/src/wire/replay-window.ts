import type {HostId, Incarnation} from '@gentianlift/types';

/** Detects replayed packets by their sequence numbers. */
export type ReplayWindow = {
	/** Records a packet; returns false if it was received before, belongs to an older incarnation or is too old to tell. */
	accept: (host: HostId, incarnation: Incarnation, sequence: number) => boolean;
	remove: (host: HostId) => void;
};

type SenderState = {incarnation: Incarnation; highest: number; recent: number[]};

/** Number of packets of one sender within which reordering is tolerated. */
const windowSize = 32;

/** Creates a replay window without known senders. */
export const createReplayWindow = (): ReplayWindow => {
	const senders = new Map<HostId, SenderState>();
	return {
		accept(host, incarnation, sequence) {
			const known = senders.get(host);
			if (known !== undefined && incarnation < known.incarnation) {
				return false;
			}

			const state = known?.incarnation === incarnation ? known : {incarnation, highest: sequence, recent: []};
			const slot = sequence % windowSize;
			if (state.recent[slot] === sequence || sequence <= state.highest - windowSize) {
				return false;
			}

			state.recent[slot] = sequence;
			state.highest = Math.max(state.highest, sequence);
			senders.set(host, state);
			return true;
		},
		remove(host) {
			senders.delete(host);
		},
	};
};
