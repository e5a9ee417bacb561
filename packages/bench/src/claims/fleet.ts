import {randomUUID} from 'node:crypto';
import {createRandom, createSystemClock, type Random} from '@gentianlift/clock';
import {createClaimClient, createClaimOwner, type ClaimOwner} from '@gentianlift/claims';
import {createMetrics} from '@gentianlift/metrics';
import {createKeyValueClient, type KeyValueClient} from '@gentianlift/platform';
import type {ClaimRequest, HostId} from '@gentianlift/types';

/** Ways of storing claims. */
export const claimModes = ['slots', 'own-slots', 'key-per-claim'] as const;
/** One of `claimModes`: shared slots with an owner each, shared slots that each host writes itself, or one key per claim. */
export type ClaimMode = typeof claimModes[number];

/** Simulated hosts in one process that store claims in a key-value service over HTTP. */
export type Fleet = {
	/** Claims a booking at its host; resolves with whether it may start. */
	claim: (booking: Booking) => Promise<boolean>;
	/** Stores the outcome of a booking in the background. */
	settle: (booking: Booking) => void;
	/** Waits for pending settlements; resolves with the number that were not stored. */
	drain: () => Promise<number>;
	/** Returns the total size in bytes of the values written. */
	getWrittenBytes: () => number;
	close: () => void;
};

/** Booking of the benchmark; `host` is the index of the host that receives it. */
export type Booking = {host: number; request: ClaimRequest};

const keyValueTimeoutMs = 1000;
const upstreamAnswerBody = JSON.stringify({
	order: 4711, status: 'booked', lengths: [6000, 4200, 1800], note: 'cut to length',
});
const uuidTimestampDigits = 12;
const uuidVersionIndex = 14;

const createIdempotencyKey = (): string => {
	const timestamp = createSystemClock().now().toString(16).padStart(uuidTimestampDigits, '0');
	return `${timestamp.slice(0, 8)}-${timestamp.slice(8)}-7${randomUUID().slice(uuidVersionIndex + 1)}`;
};

/** Creates a booking at a random host. Its idempotency key is a UUIDv7, which carries its creation time. */
export const createBooking = (sequence: number, hosts: number, random: Random): Booking => {
	const host = random.below(hosts);
	return {
		host,
		request: {
			key: {customer: 'customer', key: createIdempotencyKey()}, digest: 'f'.repeat(64), request: `host-${host}.1.${sequence}`, host: `host-${host}`, incarnation: 1,
		},
	};
};

/** Outcome that every booking is settled with. */
const finishedOutcome = {
	kind: 'finished' as const, status: 200, contentType: 'application/json', body: upstreamAnswerBody,
};

/** Creates hosts that store each claim under its own key, as a baseline. */
const createKeyPerClaimFleet = (keyValue: KeyValueClient): Fleet => {
	const revisions = new Map<string, number>();
	const pending = new Set<Promise<unknown>>();
	let writtenBytes = 0;
	const write = async (key: string, value: unknown, expected: number): Promise<number | undefined> => {
		const text = JSON.stringify(value);
		writtenBytes += text.length;
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
			pending.add(write(request.key.key, {...request, outcome: finishedOutcome}, revisions.get(request.key.key) ?? 0));
		},
		async drain() {
			await Promise.all(pending);
			return 0;
		},
		getWrittenBytes: () => writtenBytes,
		close: keyValue.close,
	};
};

const hashKey = (text: string): number => {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	return hash;
};

const createSlotFleet = (url: string, hosts: number, hasSharedSlots: boolean): Fleet => {
	const clock = createSystemClock();
	const metrics = createMetrics();
	const hostNames = Array.from({length: hosts}, (_, index) => `host-${index}`);
	const owners = new Map<HostId, ClaimOwner>();
	const keyValues: KeyValueClient[] = [];
	const clients = hostNames.map((self, index) => {
		const keyValue = createKeyValueClient({url, clock, timeout: keyValueTimeoutMs});
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
			getOwner: key => hasSharedSlots ? hostNames[hashKey(key) % hosts] : self,
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
			clients[host]!.settle({key: request.key, request: request.request, outcome: finishedOutcome});
		},
		async drain() {
			const unsettledCounts = await Promise.all(clients.map(async client => client.drain()));
			return unsettledCounts.reduce((sum, count) => sum + count, 0);
		},
		getWrittenBytes: () => metrics.getValue('claim_write_bytes'),
		close() {
			for (const {close} of keyValues) {
				close();
			}
		},
	};
};

/** Creates the hosts for a mode of storing claims. */
export const createFleet = (mode: ClaimMode, hosts: number, url: string): Fleet => {
	switch (mode) {
		case 'slots': {
			return createSlotFleet(url, hosts, true);
		}

		case 'own-slots': {
			return createSlotFleet(url, hosts, false);
		}

		case 'key-per-claim': {
			return createKeyPerClaimFleet(createKeyValueClient({url, clock: createSystemClock(), timeout: keyValueTimeoutMs}));
		}
	}
};
