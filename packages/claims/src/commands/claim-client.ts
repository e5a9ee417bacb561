import type {Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	ClaimDecision, ClaimKey, ClaimRequest, ClaimSettlement, HostId, Incarnation, KeyValueService, Milliseconds, PeerCalls, RequestId, SettlementOutcome,
} from '@gentianlift/types';
import {readClaim, readClaimOfRequest, type ClaimRead} from '../queries/read-claim.js';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {getOwnerKey, getSlot} from '../slots/slot.js';
import {createClaimOwner, type ClaimOwner} from './claim-owner.js';
import {createSettlementQueue} from './settlement-queue.js';

/** What the client of claims needs. */
export type ClaimClientOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	keyValue: KeyValueService;
	peers: Pick<PeerCalls, 'claim' | 'settleClaim'>;
	/** Host that groups the writes of a slot; undefined when none is known. */
	getOwner: (ownerKey: string) => HostId | undefined;
	/** This host's own owner, whose slots are shared; created if absent. */
	owner?: ClaimOwner;
	isGone?: (host: HostId, incarnation: Incarnation) => boolean;
	limits?: ClaimLimits;
};

/** Claims non-idempotent requests before they start. */
export type ClaimClient = {
	/** Only `start` lets the request be sent to an upstream, and only once for a request id. */
	claim: (request: ClaimRequest) => Promise<ClaimDecision>;
	/** Claims like `claim`, and while another request with the key is under way waits for its outcome up to `limit`. */
	join: (request: ClaimRequest, limit: Milliseconds) => Promise<ClaimDecision>;
	/**
	Stores how a request ended, in the background and until the service has it.
	`not-run` may only be given if the request was never written to an upstream or the upstream refused it, and it must not be sent after.
	*/
	settle: (settlement: ClaimSettlement) => void;
	readClaim: (key: ClaimKey) => Promise<ClaimRead>;
	/** Finds the claim of a booking by its request id, also when the host that ran it is gone. */
	readClaimOfRequest: (request: RequestId) => Promise<ClaimRead>;
	/** Waits until all settlements are stored; gets the number left. */
	drain: (limit?: Milliseconds) => Promise<number>;
};

const drainLimit = 10_000;
const givenUpLimit = 10_000;
const joinDelay = {first: 100, longest: 1000};
const joinGrowth = 1.5;

/** Remembers attempts that were given up, so that they never start. */
const createGivenUp = () => {
	const requests = new Set<RequestId>();
	return {
		has: (request: RequestId) => requests.has(request),
		add(request: RequestId) {
			requests.add(request);
			const [oldest] = requests;
			if (requests.size > givenUpLimit && oldest !== undefined) {
				requests.delete(oldest);
			}
		},
	};
};

type Sender = Pick<ClaimClientOptions, 'self' | 'peers' | 'getOwner' | 'metrics'> & {owner: ClaimOwner; limits: ClaimLimits};

const createSender = ({
	self, peers, getOwner, metrics, owner, limits,
}: Sender) => {
	const getRemoteOwner = (key: ClaimKey): HostId | undefined => {
		const host = getOwner(getOwnerKey(getSlot(key, limits)));
		return host === self ? undefined : host;
	};

	/** Claims at this host itself after the slot's owner gave no answer. The owner may have stored the claim or may still do it. */
	const claimInstead = async (request: ClaimRequest, reason: string): Promise<ClaimDecision> => {
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
			return outcome.kind === 'answered' ? outcome.answer : claimInstead(request, outcome.kind);
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

/** Creates the client of claims. */
export const createClaimClient = (options: ClaimClientOptions): ClaimClient => {
	const {clock, random, metrics, limits = options.owner?.limits ?? claimLimits} = options;
	const owner = options.owner ?? createClaimOwner({...options, limits});
	const sender = createSender({...options, owner, limits});
	const settlements = createSettlementQueue({
		clock, random, metrics, send: sender.settle,
	});
	const givenUp = createGivenUp();

	/** Makes sure that an attempt whose claim may be stored after all never starts, and frees its key. */
	const giveUp = (request: ClaimRequest): void => {
		givenUp.add(request.request);
		settlements.add({key: request.key, request: request.request, outcome: {kind: 'not-run'}});
	};

	const claim = async (request: ClaimRequest): Promise<ClaimDecision> => {
		if (givenUp.has(request.request)) {
			return {kind: 'unavailable', reason: 'the attempt was given up'};
		}

		const decision = await sender.claim(request);
		if (decision.kind === 'unavailable' && decision.undetermined === true) {
			giveUp(request);
		}

		return decision;
	};

	return {
		claim,
		async join(request, limit) {
			const deadline = clock.monotonic() + limit;
			let delay = joinDelay.first;
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- Asks again until the other request has ended.
				const decision = await claim(request);
				const wait = Math.min(delay * (0.5 + random.next()), deadline - clock.monotonic());
				if (decision.kind !== 'in-progress' || wait <= 0) {
					return decision;
				}

				// eslint-disable-next-line no-await-in-loop -- As above.
				await clock.sleep(wait);
				delay = Math.min(joinDelay.longest, delay * joinGrowth);
			}
		},
		settle(settlement) {
			if (settlement.outcome.kind === 'not-run') {
				givenUp.add(settlement.request);
			}

			settlements.add(settlement);
		},
		readClaim: async key => readClaim(owner.slots, key, limits),
		readClaimOfRequest: async request => readClaimOfRequest(owner.slots, request),
		drain: async (limit = drainLimit) => settlements.drain(limit),
	};
};
