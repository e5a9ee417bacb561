import {randomUUID} from 'node:crypto';
import {createRandom, createSystemClock, type Random} from '@gentianlift/clock';
import {createClaimClient, createClaimOwner, type ClaimOwner} from '@gentianlift/claims';
import {createMetrics} from '@gentianlift/metrics';
import {createKeyValueClient, type KeyValueClient} from '@gentianlift/platform';
import type {ClaimRequest, HostId} from '@gentianlift/types';

/** A way of storing claims. */
export const claimModes = ['slots', 'own-slots', 'key-per-claim'] as const;
/** One of `claimModes`: shared slots with owners, shared slots that each host writes itself, or a key for each claim. */
export type ClaimMode = typeof claimModes[number];

/** Hosts that book, in one process, over HTTP to a key-value service. */
export type Fleet = {
	/** Claims a booking at some host; gets whether it may start. */
	claim: (booking: Booking) => Promise<boolean>;
	settle: (booking: Booking) => void;
	drain: () => Promise<number>;
	/** Bytes of all values written. */
	getWrittenBytes: () => number;
	close: () => void;
};

/** A booking of the measurement. */
export type Booking = {host: number; request: ClaimRequest};

const callTimeout = 1000;
const answerBody = JSON.stringify({
	order: 4711, status: 'booked', lengths: [6000, 4200, 1800], note: 'cut to length',
});
const uuidTimeLength = 12;
const uuidTail = 14;

const createKey = (): string => {
	const time = createSystemClock().now().toString(16).padStart(uuidTimeLength, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${randomUUID().slice(uuidTail + 1)}`;
};

/** Creates a booking at one of the hosts under a key that carries the time. */
export const createBooking = (sequence: number, hosts: number, random: Random): Booking => {
	const host = random.below(hosts);
	return {
		host,
		request: {
			key: {customer: 'customer', key: createKey()}, digest: 'f'.repeat(64), request: `host-${host}.1.${sequence}`, host: `host-${host}`, incarnation: 1,
		},
	};
};

const outcome = {
	kind: 'finished' as const, status: 200, contentType: 'application/json', body: answerBody,
};

/** Creates hosts that store each claim under a key of its own, to compare with. */
const createKeyFleet = (keyValue: KeyValueClient): Fleet => {
	const revisions = new Map<string, number>();
	const pending = new Set<Promise<unknown>>();
	let bytes = 0;
	const write = async (key: string, value: unknown, expected: number): Promise<number | undefined> => {
		const text = JSON.stringify(value);
		bytes += text.length;
		const result = await keyValue.compareAndSwap({key, value: text, expected});
		return result.kind === 'applied' ? result.revision : undefined;
	};

	return {
		async claim({request}) {
			const revision = await write(request.key.key, request, 0);
			if (revision !== undefined) {
				revisions.set(request.key.key, revision);
			}

			return revision !== undefined;
		},
		settle({request}) {
			pending.add(write(request.key.key, {...request, outcome}, revisions.get(request.key.key) ?? 0));
		},
		async drain() {
			await Promise.all(pending);
			return 0;
		},
		getWrittenBytes: () => bytes,
		close: keyValue.close,
	};
};

const getHash = (text: string): number => {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	return hash;
};

const createSlotFleet = (url: string, hosts: number, isShared: boolean): Fleet => {
	const clock = createSystemClock();
	const metrics = createMetrics();
	const names = Array.from({length: hosts}, (_, index) => `host-${index}`);
	const owners = new Map<HostId, ClaimOwner>();
	const keyValues: KeyValueClient[] = [];
	const clients = names.map((self, index) => {
		const keyValue = createKeyValueClient({url, clock, timeout: callTimeout});
		keyValues.push(keyValue);
		const shared = {
			clock, random: createRandom(index + 1), metrics, keyValue,
		};
		const owner = createClaimOwner(shared);
		owners.set(self, owner);
		return createClaimClient({
			...shared,
			self,
			owner,
			getOwner: key => isShared ? names[getHash(key) % hosts] : self,
			peers: {
				claim: async (to, message) => ({kind: 'answered', answer: await owners.get(to)!.claim(self, message)}),
				settleClaim: async (to, message) => ({kind: 'answered', answer: await owners.get(to)!.settle(self, message)}),
			},
		});
	});
	return {
		async claim({host, request}) {
			const decision = await clients[host]!.claim(request);
			return decision.kind === 'start';
		},
		settle({host, request}) {
			clients[host]!.settle({key: request.key, request: request.request, outcome});
		},
		async drain() {
			const left = await Promise.all(clients.map(async client => client.drain()));
			return left.reduce((sum, count) => sum + count, 0);
		},
		getWrittenBytes: () => metrics.getValue('claim_write_bytes'),
		close() {
			for (const {close} of keyValues) {
				close();
			}
		},
	};
};

/** Creates the hosts of a measurement. */
export const createFleet = (mode: ClaimMode, hosts: number, url: string): Fleet => {
	switch (mode) {
		case 'slots': {
			return createSlotFleet(url, hosts, true);
		}

		case 'own-slots': {
			return createSlotFleet(url, hosts, false);
		}

		case 'key-per-claim': {
			return createKeyFleet(createKeyValueClient({url, clock: createSystemClock(), timeout: callTimeout}));
		}
	}
};
