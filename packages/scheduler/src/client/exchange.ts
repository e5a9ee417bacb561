import type {
	GrantResponse, GrantRequest, HostId, Milliseconds, PeerOutcome,
} from '@gentianlift/types';
import {countMessage} from '../count-message.js';
import {
	hasUnsent, restoreBatch, switchOwner, takeBatch,
} from './session.js';
import {createWithdrawal} from './tickets.js';
import type {GrantClientOptions, GroupSession} from './types.js';

/** Maximum number of exchanges of one session in flight; more than one, so that tickets and ends needn't wait for an answer. */
const maxInFlight = 4;
/** Consecutive failures of exchanges after which the host enters degraded mode. */
export const failuresBeforeDegraded = 2;
/** The same for answers of hosts that aren't the owner in their own view; more, since the hosts' views soon agree again. */
const refusalsBeforeDegraded = 8;
/** Mean delay of the next exchange after a failure. */
const retryDelay: Milliseconds = 40;
/** Mean delay of the next probe of the owner in degraded mode. */
const probeDelay: Milliseconds = 1000;

/** Exchanges batches with the owners of groups; while an owner can't be reached, with this host's own owner in degraded mode. */
export class Exchange {
	readonly #options: GrantClientOptions;
	readonly #apply: (answer: GrantResponse) => void;

	constructor(options: GrantClientOptions, apply: (answer: GrantResponse) => void) {
		this.#options = options;
		this.#apply = apply;
	}

	/** Sends the next batch of a session unless too many are in flight. In degraded mode, passes it to the local owner and probes the group's owner. */
	flush(session: GroupSession): void {
		const owner = this.#getOwner(session);
		if (owner === undefined) {
			this.#enterDegradedMode(session);
		}

		const inFlightLimit = session.mode === 'alone' ? 1 : maxInFlight;
		const canCall = owner !== undefined && session.inFlight < inFlightLimit && this.#options.clock.monotonic() >= session.notBefore;
		if (session.mode === 'alone') {
			this.#exchangeLocally(session);
		}

		if (canCall) {
			void (session.mode === 'alone' ? this.#probe(session, owner) : this.#exchange(session, owner));
		}
	}

	#getOwner({group}: GroupSession): HostId | undefined {
		const {disabledMechanisms, getOwnerOf} = this.#options;
		return disabledMechanisms?.includes('grants') === true ? undefined : getOwnerOf(group);
	}

	#exchangeLocally(session: GroupSession): void {
		const message = takeBatch(session, this.#options);
		this.#options.metrics.count('grants_degraded', {}, message.asks.length);
		this.#apply(this.#options.getLocalOwner().handleDegraded(message));
	}

	async #exchange(session: GroupSession, owner: HostId): Promise<void> {
		switchOwner(session, owner, this.#options.clock.monotonic());
		const message = takeBatch(session, this.#options);
		if (owner === this.#options.self) {
			this.#handleAnswer(session, message, this.#options.getLocalOwner().handle(owner, message));
			return;
		}

		const outcome = await this.#call(session, owner, message);
		this.#handleOutcome(session, message, outcome);
		if (hasUnsent(session)) {
			this.flush(session);
		}
	}

	async #call(session: GroupSession, owner: HostId, message: GrantRequest): Promise<PeerOutcome<GrantResponse>> {
		session.inFlight++;
		const outcome = await this.#options.peers.exchangeGrants(owner, message);
		session.inFlight--;
		countMessage(this.#options.metrics, 'ask', message);
		if (outcome.kind === 'answered') {
			countMessage(this.#options.metrics, 'answer', outcome.answer);
		}

		return outcome;
	}

	/** Sends the owner an empty batch to find out whether it can be reached again. */
	async #probe(session: GroupSession, owner: HostId): Promise<void> {
		const {self, getLocalOwner} = this.#options;
		const batch = takeBatch(session, this.#options);
		restoreBatch(session, batch);
		const message: GrantRequest = {...batch, asks: [], ends: []};
		delete message.held;
		const outcome: PeerOutcome<GrantResponse> = owner === self
			? {kind: 'answered', answer: getLocalOwner().handle(self, message)}
			: await this.#call(session, owner, message);
		if (outcome.kind === 'answered' && outcome.answer.owner) {
			this.#leaveDegradedMode(session);
			this.flush(session);
		} else {
			this.#recordFailure(session);
		}
	}

	/** Moves the held requests of a session back from this host to the owner. */
	#leaveDegradedMode(session: GroupSession): void {
		const waiting = [...session.heldRequests.values()].filter(held => held.upstream === undefined);
		const ends = waiting.map(({ticket}) => createWithdrawal(ticket));
		const message = takeBatch(session, this.#options);
		this.#options.getLocalOwner().handleDegraded({...message, asks: [], ends: [...message.ends, ...ends]});
		session.unsentRequests = new Set(waiting);
		session.mode = 'owner';
		session.owner = undefined;
		session.consecutiveFailures = 0;
		this.#options.metrics.count('grant_lines_recovered');
	}

	#handleOutcome(session: GroupSession, message: GrantRequest, outcome: PeerOutcome<GrantResponse>): void {
		switch (outcome.kind) {
			case 'answered': {
				this.#handleAnswer(session, message, outcome.answer);
				break;
			}

			case 'unreachable':
			case 'unknown': {
				this.#options.metrics.count('grant_exchange_failures', {kind: outcome.kind});
				restoreBatch(session, message);
				this.#recordFailure(session);
				break;
			}
		}
	}

	#handleAnswer(session: GroupSession, message: GrantRequest, answer: GrantResponse): void {
		if (!answer.owner) {
			this.#options.metrics.count('grant_exchange_failures', {kind: 'not-owner'});
			restoreBatch(session, message);
			this.#recordFailure(session, refusalsBeforeDegraded);
			return;
		}

		session.consecutiveFailures = 0;
		session.includesTickets = answer.wanted !== undefined && answer.wanted.length > 0;
		if (session.includesTickets) {
			session.nextHeartbeatAt = this.#options.clock.monotonic();
		}

		this.#apply(answer);
	}

	#recordFailure(session: GroupSession, maxFailures = failuresBeforeDegraded): void {
		const {clock, random} = this.#options;
		session.consecutiveFailures++;
		session.owner = undefined;
		const delay = session.consecutiveFailures < maxFailures ? retryDelay : probeDelay;
		session.notBefore = clock.monotonic() + (delay * (0.5 + random.next()));
		if (session.consecutiveFailures >= maxFailures) {
			this.#enterDegradedMode(session);
			this.#exchangeLocally(session);
		}
	}

	/** Lets this host grant the session's requests slots, within its own fraction of the slots. */
	#enterDegradedMode(session: GroupSession): void {
		if (session.mode === 'alone') {
			return;
		}

		session.mode = 'alone';
		session.nextHeartbeatAt = this.#options.clock.monotonic();
		session.unsentRequests = new Set([...session.heldRequests.values()].filter(held => held.upstream === undefined));
		this.#options.metrics.count('grant_lines_degraded');
	}
}
