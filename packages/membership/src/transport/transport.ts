import type {Address} from '@gentianlift/types';

/** Carries datagrams, each of which may be lost, delayed, reordered or duplicated. */
export type Transport = {
	/** Starts receiving; resolves once the transport listens. */
	start: (onDatagram: (bytes: Uint8Array) => void) => Promise<void>;
	send: (to: Address, bytes: Uint8Array) => void;
	/** Accepts nothing further to send, and closes once pending sends have completed. */
	stop: () => void;
};
