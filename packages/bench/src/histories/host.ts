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
	createLink, waitUntilRunning, type ProcessState, type Link, type LinkOutcome,
} from './link.js';
import type {Simulation} from './simulation.js';

/** Simulated process of an entry host that runs the production claims code. */
export type Host = {
	id: HostId;
	incarnation: Incarnation;
	processState: ProcessState;
	owner: ClaimOwner;
	client: ClaimClient;
	/** Handles a caller's booking and resolves with its answer, or never if the process dies. */
	book: (booking: {booking: string; digest: string}, onRequest: (request: RequestId) => void) => Promise<Answer>;
};

const keyValueTimeoutMs = 300;
const peerTimeoutMs = 1500;
const upstreamTimeoutMs = 800;
const joinTimeoutMs = 1500;
const customer = 'customer';
const benchClaimLimits = {...claimLimits, claimTimeout: 1000, settleTimeout: 1000};

const toUnavailable = (outcome: Exclude<LinkOutcome<unknown>, {kind: 'answered'}>): {kind: 'unavailable'; reason: string} =>
	({kind: 'unavailable', reason: outcome.reason});

const toWriteOutcome = (outcome: LinkOutcome<WriteOutcome>, expected: number, simulation: Simulation): WriteOutcome => {
	switch (outcome.kind) {
		case 'answered': {
			return outcome.answer;
		}

		case 'unreachable': {
			return toUnavailable(outcome);
		}

		case 'unknown': {
			return simulation.seededFault === 'unknown-as-applied' ? {kind: 'applied', revision: expected + 1} : outcome;
		}
	}
};

const createLinkedKeyValue = (simulation: Simulation, link: Link): KeyValueService => {
	const {keyValue, seededFault} = simulation;
	const compareAndSwap: KeyValueService['compareAndSwap'] = async write => {
		const current = keyValue.peek(write.key)?.revision ?? 0;
		return keyValue.compareAndSwap(seededFault === 'write-without-compare' ? {...write, expected: current} : write);
	};

	return {
		...keyValue,
		async read(key): Promise<ReadOutcome> {
			const outcome = await link(async () => keyValue.read(key));
			return outcome.kind === 'answered' ? outcome.answer : toUnavailable(outcome);
		},
		async compareAndSwap(write) {
			return toWriteOutcome(await link(async () => compareAndSwap(write)), write.expected, simulation);
		},
		async remove(key, expected) {
			return toWriteOutcome(await link(async () => keyValue.remove(key, expected)), expected, simulation);
		},
	};
};

const createPeerCalls = (simulation: Simulation, link: Link, self: HostId): Pick<PeerCalls, 'claim' | 'settleClaim'> => {
	const call = async <Reply>(to: HostId, run: (host: Host) => Promise<Reply>) => link(async () => {
		const host = simulation.hosts.get(to)!;
		await waitUntilRunning(host.processState, simulation.clock);
		const answer = await run(host);
		await waitUntilRunning(host.processState, simulation.clock);
		return answer;
	}, true);
	return {
		claim: async (to, message) => call(to, async host => host.owner.claim(self, message)),
		settleClaim: async (to, message) => call(to, async host => host.owner.settle(self, message)),
	};
};

const toAnswer = (decision: Exclude<ClaimDecision, {kind: 'start'}>): Answer => {
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

/** Outcome of a call to the upstream to store in the claim, and the answer to the caller. */
type UpstreamRun = {outcome: ClaimOutcome; answer: Answer};

const runAtUpstream = async (simulation: Simulation, link: Link, request: ClaimRequest, booking: string): Promise<UpstreamRun> => {
	const sent = {booking, digest: request.digest, request: request.request};
	const outcome = await link(async () => simulation.upstream.run(sent));
	if (outcome.kind === 'unknown') {
		return simulation.seededFault === 'cut-as-not-run'
			? {outcome: {kind: 'not-run'}, answer: {ran: 'not-run'}}
			: {outcome: {kind: 'unknown', reason: 'cut'}, answer: {ran: 'unknown', reason: 'cut'}};
	}

	if (outcome.kind === 'unreachable' || outcome.answer.kind === 'refused') {
		return {outcome: {kind: 'not-run'}, answer: {ran: 'not-run', reason: 'refused'}};
	}

	const {body} = outcome.answer;
	return {outcome: {kind: 'finished', status: 200, body}, answer: {ran: 'ran', body}};
};

/** Starts a simulated process of an entry host. */
export const createHost = (simulation: Simulation, id: HostId, incarnation: Incarnation, getOwner: (key: string) => HostId): Host => {
	const {clock, random} = simulation;
	const processState: ProcessState = {isAlive: true, pausedUntil: 0};
	const createHostLink = (timeout: number) => createLink({
		clock, random, processState, faults: () => simulation.faults, timeout,
	});
	const shared = {
		clock,
		random: createRandom(random.below(2 ** 30)),
		metrics: createMetrics(),
		keyValue: createLinkedKeyValue(simulation, createHostLink(keyValueTimeoutMs)),
		isGone: (host: HostId, hostIncarnation: Incarnation) => simulation.goneIncarnations.has(`${host}.${hostIncarnation}`),
		limits: benchClaimLimits,
	};
	const owner = createClaimOwner(shared);
	const client = createClaimClient({
		...shared, self: id, peers: createPeerCalls(simulation, createHostLink(peerTimeoutMs), id), getOwner, owner,
	});
	const upstreamLink = createHostLink(upstreamTimeoutMs);
	let sequence = 0;

	const createRequest = (booking: string, digest: string): ClaimRequest => {
		const key = {customer, key: booking};
		return {
			key, digest, request: createBookingId(`${id}.${incarnation}.${++sequence}`, key, benchClaimLimits), host: id, incarnation,
		};
	};

	return {
		id,
		incarnation,
		processState,
		owner,
		client,
		async book({booking, digest}, onRequest) {
			await waitUntilRunning(processState, clock);
			const request = createRequest(booking, digest);
			onRequest(request.request);
			const decision = await client.join(request, joinTimeoutMs);
			await waitUntilRunning(processState, clock);
			if (decision.kind !== 'start') {
				return toAnswer(decision);
			}

			const {outcome, answer} = await runAtUpstream(simulation, upstreamLink, request, booking);
			client.settle({key: request.key, request: request.request, outcome});
			simulation.settlements.push({booking, request: request.request});
			return answer;
		},
	};
};
