import type {Clock, Random} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {Transport} from './transport.js';

/** An in-memory network for tests. */
export type MemoryNetwork = {
	createTransport: (address: Address) => Transport;
	/** Drops all datagrams between addresses for which `isPartitioned` returns true. */
	setPartition: (isPartitioned: (from: Address, to: Address) => boolean) => void;
	/** Drops everything that an address sends. */
	setMuted: (address: Address, isMuted: boolean) => void;
	/** Drops datagrams at random; `rate` is the probability, from 0 to 1. */
	setLossRate: (rate: number) => void;
	/** Delivers a datagram from an arbitrary sender. */
	inject: (to: Address, bytes: Uint8Array) => void;
	/** Calls `observe` with each datagram sent, dropped ones included. */
	onSend: (observe: (from: Address, to: Address, bytes: Uint8Array) => void) => void;
};

/** Maximum delivery delay of a datagram. */
const maxDelay: Milliseconds = 20;

/** Creates a network without transports; each datagram is delivered after a random delay of up to `maxDelay`. */
export const createMemoryNetwork = (clock: Clock, random: Random): MemoryNetwork => {
	const receivers = new Map<Address, (bytes: Uint8Array) => void>();
	const observers: Array<(from: Address, to: Address, bytes: Uint8Array) => void> = [];
	let isPartitioned = (_from: Address, _to: Address): boolean => false;
	const muted = new Set<Address>();
	let lossRate = 0;

	const deliver = (to: Address, bytes: Uint8Array): void => {
		receivers.get(to)?.(bytes);
	};

	return {
		createTransport: address => ({
			async start(onDatagram) {
				receivers.set(address, onDatagram);
			},
			send(to, bytes) {
				for (const observe of observers) {
					observe(address, to, bytes);
				}

				if (muted.has(address) || isPartitioned(address, to) || random.next() < lossRate) {
					return;
				}

				clock.after(1 + random.nextInt(maxDelay), () => {
					deliver(to, bytes);
				});
			},
			stop() {
				receivers.delete(address);
			},
		}),
		setPartition(next) {
			isPartitioned = next;
		},
		setMuted(address, isMuted) {
			if (isMuted) {
				muted.add(address);
			} else {
				muted.delete(address);
			}
		},
		setLossRate(rate) {
			lossRate = rate;
		},
		inject: deliver,
		onSend(observe) {
			observers.push(observe);
		},
	};
};
