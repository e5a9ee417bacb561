import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** When the host last had an answer from the service or a peer. */
export type Contact = {
	note: () => void;
	/** Time since the last answer, or since the start. */
	getAge: () => Milliseconds;
};

/** Creates a contact that begins now. */
export const createContact = (clock: Clock): Contact => {
	let at = clock.monotonic();
	return {
		note() {
			at = clock.monotonic();
		},
		getAge: () => clock.monotonic() - at,
	};
};
