import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Time at which the host last received a response from the key-value service or a peer. */
export type LastContact = {
	/** Records a response that is received now. */
	record: () => void;
	/** Returns the time since the last response, or since creation if there was none. */
	getAge: () => Milliseconds;
};

/** Creates a last contact that starts at the present time. */
export const createLastContact = (clock: Clock): LastContact => {
	let lastContactAt = clock.monotonic();
	return {
		record() {
			lastContactAt = clock.monotonic();
		},
		getAge: () => clock.monotonic() - lastContactAt,
	};
};
