import type {Address} from '@gentianlift/types';

/** Carries datagrams, each of which may be lost, late or doubled. */
export type Transport = {
	/** Starts to receive. */
	start: (onDatagram: (bytes: Uint8Array) => void) => Promise<void>;
	send: (to: Address, bytes: Uint8Array) => void;
	/** Stops to receive, and ends once what was sent has left. */
	stop: () => void;
};
