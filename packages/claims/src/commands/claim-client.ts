import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimDecision, ClaimKey, ClaimRequest, ClaimSettlement, HostId, Incarnation, KeyValueService, Milliseconds, PeerCalls, RequestId, SettlementOutcome,
} from '@gentianlift/types';
import {readClaim, readClaimByRequestId, type ClaimRead} from '../queries/read-claim.js';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {getOwnerKey, getSlot} from '../slots/slot.js';
import {createClaimOwner, type ClaimOwner} from './claim-store.js';
import {createSettlementQueue} from './settlement-queue.js';

/** Dependencies and options of a claim client. */
export type ClaimClientOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	keyValue: KeyValueService;
	peers: Pick<PeerCalls, 'claim' | 'settleClaim'>;
	/** Returns the host that batches the writes of a slot; undefined when none is known. */
	getOwner: (ownerKey: string) => HostId | undefined;
	/** This host's store for claims, whose slot writer the client uses too; created if absent. */
	owner?: ClaimOwner;
	/** Whether the incarnation of a host is known to have ended; false while that is uncertain. */
	isGone?: (host: HostId, incarnation: Incarnation) => boolean;
	limits?: ClaimLimits;
};

/** Claims non-idempotent requests before they start, so that each executes at most once. */
export type ClaimClient = {
	/** Claims the key of a request. Only the decision `start` allows sending the request to an upstream, and only once per request id. */
	claim: (request: ClaimRequest) => Promise<ClaimDecision>;
	/** Claims the key of a request; while another request with the key is in progress, waits up to `limit` for its outcome. */
	join: (request: ClaimRequest, limit: Milliseconds) => Promise<ClaimDecision>;
	/**
	Stores the outcome of a request in the background, retrying until the key-value service has stored it.
	The outcome `not-run` is allowed only if the request was never written to an upstream or the upstream refused it, and the request must not be sent afterwards.
	*/
	settle: (settlement: ClaimSettlement) => void;
	/** Reads the claim of a key from the key-value service. */
	readClaim: (key: ClaimKey) => Promise<ClaimRead>;
	/** Finds the claim of a non-idempotent request by its id, even if the host that claimed it is gone. */
	readClaimByRequestId: (request: RequestId) => Promise<ClaimRead>;
	/** Waits until all settlements are stored, at most for `limit`; returns the number left. */
	drain: (limit?: Milliseconds) => Promise<number>;
};

/** Default time for draining, in milliseconds. */
const drainTimeout = 10_000;
/** Number of withdrawn requests that a host remembers. */
const maxWithdrawnRequests = 10_000;
/** Delays in milliseconds between polls for the outcome of another request. */
const pollDelay = {initial: 100, max: 1000};
const pollDelayGrowth = 1.5;

/** Creates the set of requests that this host has withdrawn, so that they must never start; the oldest are dropped beyond its limit. */
const createWithdrawnRequests = () => {
	const requests = new Set<RequestId>();
	return {
		has: (request: RequestId) => requests.has(request),
		add(request: RequestId) {
			requests.add(request);
			const [oldest] = requests;
			if (requests.size > maxWithdrawnRequests && oldest !== undefined) {
				requests.delete(oldest);
			}
		},
	};
};

type SenderOptions = Pick<ClaimClientOptions, 'self' | 'peers' | 'getOwner' | 'metrics'> & {owner: ClaimOwner; limits: ClaimLimits};

/** Sends claims and settlements to the owner of their slot; if it gives no answer, this host stores them itself. */
const createClaimSender = ({
	self, peers, getOwner, metrics, owner, limits,
}: SenderOptions) => {
	const getRemoteOwner = (key: ClaimKey): HostId | undefined => {
		const host = getOwner(getOwnerKey(getSlot(key, limits)));
		return host === self ? undefined : host;
	};

	/** Stores the claim at this host after the slot's owner gave no answer. If the reason is `unknown`, the owner may have received the request: it may have stored the claim, or may still store it. */
	const claimLocally = async (request: ClaimRequest, reason: string): Promise<ClaimDecision> => {
		metrics.count('claim_fallbacks', {reason});
		const decision = await owner.claim(self, request);
		return decision.kind === 'unavailable' ? {...decision, undetermined: decision.undetermined === true || reason === 'unknown'} : decision;
	};

	return {
		async claim(request: ClaimRequest): Promise<ClaimDecision> {
			const host = getRemoteOwner(request.key);
			if (host === undefined) {
				return owner.claim(self, request);
			}

			const outcome = await peers.claim(host, request);
			return outcome.kind === 'answered' ? outcome.answer : claimLocally(request, outcome.kind);
		},
		async settle(settlement: ClaimSettlement): Promise<SettlementOutcome> {
			const host = getRemoteOwner(settlement.key);
			if (host === undefined) {
				return owner.settle(self, settlement);
			}

			const outcome = await peers.settleClaim(host, settlement);
			return outcome.kind === 'answered' ? outcome.answer : owner.settle(self, settlement);
		},
	};
};

/** Creates the claim client of a host. */
export const createClaimClient = (options: ClaimClientOptions): ClaimClient => {
	const {clock, random, metrics, limits = options.owner?.limits ?? claimLimits} = options;
	const owner = options.owner ?? createClaimOwner({...options, limits});
	const sender = createClaimSender({...options, owner, limits});
	const settlements = createSettlementQueue({
		clock, random, metrics, send: sender.settle,
	});
	const withdrawnRequests = createWithdrawnRequests();

	/** Withdraws a request whose claim may be stored after all: it never starts, and its key becomes free for another request. */
	const withdrawRequest = (request: ClaimRequest): void => {
		withdrawnRequests.add(request.request);
		settlements.add({key: request.key, request: request.request, outcome: {kind: 'not-run'}});
	};

	const claim = async (request: ClaimRequest): Promise<ClaimDecision> => {
		if (withdrawnRequests.has(request.request)) {
			return {kind: 'unavailable', reason: 'the attempt was given up'};
		}

		const decision = await sender.claim(request);
		if (decision.kind === 'unavailable' && decision.undetermined === true) {
			withdrawRequest(request);
		}

		return decision;
	};

	return {
		claim,
		async join(request, limit) {
			const deadline = clock.monotonic() + limit;
			let delay = pollDelay.initial;
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- Polls until the other request has ended.
				const decision = await claim(request);
				const wait = Math.min(delay * (0.5 + random.next()), deadline - clock.monotonic());
				if (decision.kind !== 'in-progress' || wait <= 0) {
					return decision;
				}

				// eslint-disable-next-line no-await-in-loop -- Waits between polls.
				await clock.sleep(wait);
				delay = Math.min(pollDelay.max, delay * pollDelayGrowth);
			}
		},
		settle(settlement) {
			if (settlement.outcome.kind === 'not-run') {
				withdrawnRequests.add(settlement.request);
			}

			settlements.add(settlement);
		},
		readClaim: async key => readClaim(owner.slots, key, limits),
		readClaimByRequestId: async request => readClaimByRequestId(owner.slots, request),
		drain: async (limit = drainTimeout) => settlements.drain(limit),
	};
};
