import type {Clock, Random} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {Transport} from './transport.js';

/** A network in memory for tests. */
export type MemoryNetwork = {
	createTransport: (address: Address) => Transport;
	/** Decides which datagrams are lost: all of them where `isCut` holds. */
	setCut: (isCut: (from: Address, to: Address) => boolean) => void;
	/** Loses all that an address sends. */
	setMuted: (address: Address, isMuted: boolean) => void;
	/** Loses a share of all datagrams, from 0 to 1. */
	setLoss: (share: number) => void;
	/** Delivers bytes as if they came from anywhere. */
	inject: (to: Address, bytes: Uint8Array) => void;
	/** Called with each datagram sent. */
	onSend: (observe: (from: Address, to: Address, bytes: Uint8Array) => void) => void;
};

/** Longest delay of a datagram. */
const maxDelay: Milliseconds = 20;

/** Creates an empty network whose datagrams take a few milliseconds. */
export const createMemoryNetwork = (clock: Clock, random: Random): MemoryNetwork => {
	const receivers = new Map<Address, (bytes: Uint8Array) => void>();
	const observers: Array<(from: Address, to: Address, bytes: Uint8Array) => void> = [];
	let isCut = (_from: Address, _to: Address): boolean => false;
	const muted = new Set<Address>();
	let loss = 0;

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

				if (muted.has(address) || isCut(address, to) || random.next() < loss) {
					return;
				}

				clock.after(1 + random.below(maxDelay), () => {
					deliver(to, bytes);
				});
			},
			stop() {
				receivers.delete(address);
			},
		}),
		setCut(next) {
			isCut = next;
		},
		setMuted(address, isMuted) {
			if (isMuted) {
				muted.add(address);
			} else {
				muted.delete(address);
			}
		},
		setLoss(share) {
			loss = share;
		},
		inject: deliver,
		onSend(observe) {
			observers.push(observe);
		},
	};
};
