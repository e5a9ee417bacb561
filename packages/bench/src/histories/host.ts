import {createRandom} from '@gentianlift/clock';
import {
	claimLimits, createBookingId, createClaimClient, createClaimOwner, type ClaimClient, type ClaimOwner,
} from '@gentianlift/claims';
import {createMetrics} from '@gentianlift/metrics';
import type {
	ClaimDecision, ClaimOutcome, ClaimRequest, HostId, Incarnation, KeyValueService, PeerCalls, ReadOutcome, RequestId, WriteOutcome,
} from '@gentianlift/types';
import type {Answer} from './history.js';
import {
	createLink, waitForLife, type Life, type Link, type LinkOutcome,
} from './link.js';
import type {World} from './world.js';

/** A process of an entry host with the real claims code. */
export type Host = {
	id: HostId;
	incarnation: Incarnation;
	life: Life;
	owner: ClaimOwner;
	client: ClaimClient;
	/** Takes a caller's booking and resolves with its answer, or never. */
	book: (booking: {booking: string; digest: string}, onRequest: (request: RequestId) => void) => Promise<Answer>;
};

const callTimeout = 300;
const peerTimeout = 1500;
const upstreamTimeout = 800;
const joinLimit = 1500;
const customer = 'customer';
const limits = {...claimLimits, claimTimeout: 1000, settleTimeout: 1000};

const getUnavailable = (outcome: Exclude<LinkOutcome<unknown>, {kind: 'answered'}>): {kind: 'unavailable'; reason: string} =>
	({kind: 'unavailable', reason: outcome.reason});

const getWriteOutcome = (outcome: LinkOutcome<WriteOutcome>, expected: number, world: World): WriteOutcome => {
	switch (outcome.kind) {
		case 'answered': {
			return outcome.answer;
		}

		case 'unreachable': {
			return getUnavailable(outcome);
		}

		case 'unknown': {
			return world.seededFault === 'unknown-as-applied' ? {kind: 'applied', revision: expected + 1} : outcome;
		}
	}
};

const createKeyValueCalls = (world: World, link: Link): KeyValueService => {
	const {keyValue, seededFault} = world;
	const swap: KeyValueService['compareAndSwap'] = async write => {
		const current = keyValue.peek(write.key)?.revision ?? 0;
		return keyValue.compareAndSwap(seededFault === 'write-without-compare' ? {...write, expected: current} : write);
	};

	return {
		...keyValue,
		async read(key): Promise<ReadOutcome> {
			const outcome = await link(async () => keyValue.read(key));
			return outcome.kind === 'answered' ? outcome.answer : getUnavailable(outcome);
		},
		async compareAndSwap(write) {
			return getWriteOutcome(await link(async () => swap(write)), write.expected, world);
		},
		async remove(key, expected) {
			return getWriteOutcome(await link(async () => keyValue.remove(key, expected)), expected, world);
		},
	};
};

const createPeers = (world: World, link: Link, self: HostId): Pick<PeerCalls, 'claim' | 'settleClaim'> => {
	const call = async <Reply>(to: HostId, run: (host: Host) => Promise<Reply>) => link(async () => {
		const host = world.hosts.get(to)!;
		await waitForLife(host.life, world.clock);
		const answer = await run(host);
		await waitForLife(host.life, world.clock);
		return answer;
	}, true);
	return {
		claim: async (to, message) => call(to, async host => host.owner.claim(self, message)),
		settleClaim: async (to, message) => call(to, async host => host.owner.settle(self, message)),
	};
};

const getAnswer = (decision: Exclude<ClaimDecision, {kind: 'start'}>): Answer => {
	switch (decision.kind) {
		case 'done': {
			const {outcome} = decision.claim;
			return outcome.kind === 'finished' && outcome.body !== undefined ? {ran: 'ran', body: outcome.body} : {ran: 'unknown', reason: 'no body'};
		}

		case 'in-progress':
		case 'unknown':
		case 'expired': {
			return {ran: 'unknown', reason: decision.kind};
		}

		case 'mismatch':
		case 'full':
		case 'invalid':
		case 'unavailable': {
			return {ran: 'not-run', reason: decision.kind};
		}
	}
};

type Run = {outcome: ClaimOutcome; answer: Answer};

const runUpstream = async (world: World, link: Link, request: ClaimRequest, booking: string): Promise<Run> => {
	const sent = {booking, digest: request.digest, request: request.request};
	const outcome = await link(async () => world.upstream.run(sent));
	if (outcome.kind === 'unknown') {
		return world.seededFault === 'cut-as-not-run'
			? {outcome: {kind: 'not-run'}, answer: {ran: 'not-run'}}
			: {outcome: {kind: 'unknown', reason: 'cut'}, answer: {ran: 'unknown', reason: 'cut'}};
	}

	if (outcome.kind === 'unreachable' || outcome.answer.kind === 'refused') {
		return {outcome: {kind: 'not-run'}, answer: {ran: 'not-run', reason: 'refused'}};
	}

	const {body} = outcome.answer;
	return {outcome: {kind: 'finished', status: 200, body}, answer: {ran: 'ran', body}};
};

/** Starts a process of an entry host. */
export const createHost = (world: World, id: HostId, incarnation: Incarnation, getOwner: (key: string) => HostId): Host => {
	const {clock, random} = world;
	const life: Life = {isAlive: true, pausedUntil: 0};
	const createHostLink = (timeout: number) => createLink({
		clock, random, life, faults: () => world.faults, timeout,
	});
	const shared = {
		clock,
		random: createRandom(random.below(2 ** 30)),
		metrics: createMetrics(),
		keyValue: createKeyValueCalls(world, createHostLink(callTimeout)),
		isGone: (host: HostId, run: Incarnation) => world.gone.has(`${host}.${run}`),
		limits,
	};
	const owner = createClaimOwner(shared);
	const client = createClaimClient({
		...shared, self: id, peers: createPeers(world, createHostLink(peerTimeout), id), getOwner, owner,
	});
	const upstreamLink = createHostLink(upstreamTimeout);
	let sequence = 0;

	const createRequest = (booking: string, digest: string): ClaimRequest => {
		const key = {customer, key: booking};
		return {
			key, digest, request: createBookingId(`${id}.${incarnation}.${++sequence}`, key, limits), host: id, incarnation,
		};
	};

	return {
		id,
		incarnation,
		life,
		owner,
		client,
		async book({booking, digest}, onRequest) {
			await waitForLife(life, clock);
			const request = createRequest(booking, digest);
			onRequest(request.request);
			const decision = await client.join(request, joinLimit);
			await waitForLife(life, clock);
			if (decision.kind !== 'start') {
				return getAnswer(decision);
			}

			const {outcome, answer} = await runUpstream(world, upstreamLink, request, booking);
			client.settle({key: request.key, request: request.request, outcome});
			world.settled.push({booking, request: request.request});
			return answer;
		},
	};
};
