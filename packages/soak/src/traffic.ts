import type {Clock, Random} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import type {Callers, Deployment} from './deployment.js';
import type {Fleet} from './fleet.js';
import {requestKinds, type Call, type RequestKind} from './guarantees.js';

/** A running load of requests. */
export type Traffic = {
	/** Stops sending; resolves when all open requests have ended. */
	stop: () => Promise<void>;
};

/** Options of the load. */
export type TrafficOptions = {
	fleet: Fleet;
	deployment: Deployment;
	callers: Callers;
	clock: Clock;
	random: Random;
	/** Prefix of the request ids of this run. */
	attemptPrefix: string;
	/** Returns the current factor on the rate of requests: of those that go where hosts tell them to, or of those that keep to a host. */
	getRateFactor: (host?: number) => number;
	/** Returns the part of additional requests that crashes upstreams; undefined while there are none. */
	getCrashingPart: () => string | undefined;
	/** Called with each request once it has ended. */
	onCall: (call: Call) => void;
};

/** Mean time between two requests at rate factor 1, over all callers. */
const meanSendInterval: Milliseconds = 8;
/** Number of requests with a crashing part for each request of callers that go where hosts tell them to, while they come. */
const crashingPartRatio = 0.075;
/** Kinds of requests with prompts. */
const streamKinds = ['stream', 'resumable'] as const;
/** Part of the requests whose callers keep to one host and its open connections, whatever hosts name to callers. */
const holdingRatio = 1 / 3;
/** Kinds of their requests, of which long ones are rare, as these keep a stopping host from ending. */
const holdingKinds: readonly RequestKind[] = [...Array.from({length: 6}, (): RequestKind[] => ['booking', 'lookup']).flat(), 'stream', 'resumable'];
/** Number of open requests at which no more are sent. */
const maxOpenRequests = 400;
/** Time after which callers ask again which hosts to connect to. */
const resolveInterval: Milliseconds = 1000;

const requestTimeouts: Record<RequestKind, Milliseconds> = {
	booking: 1500, lookup: 1500, stream: 5000, resumable: 5000,
};

/** Picks a random address among those that a host last returned to callers, or any host's while none has answered. */
const createAddressPicker = ({fleet, callers, clock, random}: TrafficOptions) => {
	const directory: {addresses: Address[]; at: Milliseconds} = {addresses: [], at: Number.NEGATIVE_INFINITY};
	const refresh = async (): Promise<void> => {
		directory.at = clock.monotonic();
		const host = random.pick(fleet.hosts);
		const addresses = host === undefined ? [] : await callers.resolve(host.options.ip);
		directory.addresses = addresses.length > 0 ? addresses : directory.addresses;
	};

	return (): Address | undefined => {
		if (clock.monotonic() - directory.at > resolveInterval) {
			void refresh();
		}

		return random.pick(directory.addresses) ?? random.pick(fleet.hosts)?.callerAddress;
	};
};

/** Starts an open-loop load with exponentially distributed intervals. */
export const startTraffic = (options: TrafficOptions): Traffic => {
	const {
		fleet, deployment, callers, clock, random, attemptPrefix, getRateFactor, getCrashingPart, onCall,
	} = options;
	const pickAddress = createAddressPicker(options);
	const openRequests = new Set<Promise<void>>();
	let sent = 0;
	const state = {isStopped: false};

	const getHost = (address: Address): number => fleet.hosts.findIndex(({callerAddress}) => callerAddress === address);

	const sendOne = async (address: Address | undefined, kind: RequestKind | undefined, part?: string): Promise<void> => {
		if (address === undefined || kind === undefined || getHost(address) === -1) {
			return;
		}

		sent += 1;
		const attempt = part === undefined ? `${attemptPrefix}-${sent}` : `${attemptPrefix}-${part}-${sent}`;
		const startedAt = clock.monotonic();
		const {requests, ...result} = await callers.send({
			attempt, kind, address, timeout: requestTimeouts[kind], pickAddress, ...(part !== undefined && {part}),
		});
		onCall({
			attempt,
			kind,
			service: deployment.services[kind],
			host: getHost(address),
			startedAt,
			endedAt: clock.monotonic(),
			part,
			...result,
			exchanges: requests.map(({address: sentTo, ...exchange}) => ({...exchange, host: getHost(sentTo)})),
		});
	};

	const send = (...request: Parameters<typeof sendOne>): void => {
		if (openRequests.size < maxOpenRequests) {
			const call = sendOne(...request);
			openRequests.add(call);
			void call.finally(() => {
				openRequests.delete(call);
			});
		}
	};

	/** Sends requests at exponentially distributed intervals with this mean at rate factor 1. */
	const repeat = async (interval: Milliseconds, getFactor: () => number, sendNext: () => void): Promise<void> => {
		while (!state.isStopped) {
			sendNext();
			// eslint-disable-next-line no-await-in-loop -- The interval between two requests.
			await clock.sleep(-Math.log(1 - random.next()) * interval / getFactor());
		}
	};

	const sendWhereTold = (): void => {
		send(pickAddress(), random.pick(requestKinds));
		const crashingPart = getCrashingPart();
		if (crashingPart !== undefined && random.next() < crashingPartRatio) {
			send(pickAddress(), random.pick(streamKinds), crashingPart);
		}
	};

	const sending = Promise.all([
		repeat(meanSendInterval / (1 - holdingRatio), () => getRateFactor(), sendWhereTold),
		...fleet.hosts.map(async ({callerAddress}, host) => repeat(meanSendInterval * fleet.hosts.length / holdingRatio, () => getRateFactor(host), () => {
			send(callerAddress, random.pick(holdingKinds));
		})),
	]);
	return {
		async stop() {
			state.isStopped = true;
			await sending;
			await Promise.all(openRequests);
		},
	};
};
