import type {
	GrantAnswer, GrantRequest, HostId, Milliseconds, PeerOutcome,
} from '@gentianlift/types';
import {countMessage} from '../count-message.js';
import {
	hasNews, prepareOwner, restoreMessage, takeMessage,
} from './line.js';
import {getWithdrawal} from './tickets.js';
import type {GrantClientOptions, Line} from './types.js';

/** Exchanges of one line under way at once, so that asks and ends needn't wait for an answer. */
const mostInFlight = 4;
/** Exchanges that fail in a row before the host orders its own work. */
export const failuresBeforeAlone = 2;
/** The same for answers of hosts that don't take themselves for the owner: views agree again within moments. */
const refusalsBeforeAlone = 8;
const retryDelay: Milliseconds = 40;
const recoveryDelay: Milliseconds = 1000;

/** Exchanges batches with the owners of groups; while an owner can't be reached, with this host's own order. */
export class Exchange {
	readonly #options: GrantClientOptions;
	readonly #apply: (answer: GrantAnswer) => void;

	constructor(options: GrantClientOptions, apply: (answer: GrantAnswer) => void) {
		this.#options = options;
		this.#apply = apply;
	}

	/** Sends what there is, at once unless several batches are under way. */
	flush(line: Line): void {
		const owner = this.#getOwner(line);
		if (owner === undefined) {
			this.#separate(line);
		}

		const mostUnderWay = line.mode === 'alone' ? 1 : mostInFlight;
		const mayCall = owner !== undefined && line.inFlight < mostUnderWay && this.#options.clock.monotonic() >= line.notBefore;
		if (line.mode === 'alone') {
			this.#exchangeAlone(line);
		}

		if (mayCall) {
			void (line.mode === 'alone' ? this.#probe(line, owner) : this.#exchange(line, owner));
		}
	}

	#getOwner({group}: Line): HostId | undefined {
		const {without, getOwnerOf} = this.#options;
		return without?.includes('grants') === true ? undefined : getOwnerOf(group);
	}

	#exchangeAlone(line: Line): void {
		const message = takeMessage(line, this.#options);
		this.#options.metrics.count('grants_degraded', {}, message.asks.length);
		this.#apply(this.#options.getLocalOwner().handleDegraded(message));
	}

	async #exchange(line: Line, owner: HostId): Promise<void> {
		prepareOwner(line, owner, this.#options.clock.monotonic());
		const message = takeMessage(line, this.#options);
		if (owner === this.#options.self) {
			this.#takeAnswer(line, message, this.#options.getLocalOwner().handle(owner, message));
			return;
		}

		const outcome = await this.#call(line, owner, message);
		this.#takeOutcome(line, message, outcome);
		if (hasNews(line)) {
			this.flush(line);
		}
	}

	async #call(line: Line, owner: HostId, message: GrantRequest): Promise<PeerOutcome<GrantAnswer>> {
		line.inFlight++;
		const outcome = await this.#options.peers.exchangeGrants(owner, message);
		line.inFlight--;
		countMessage(this.#options.metrics, 'ask', message);
		if (outcome.kind === 'answered') {
			countMessage(this.#options.metrics, 'answer', outcome.answer);
		}

		return outcome;
	}

	/** Asks the owner for nothing, to find out whether it can be reached again. */
	async #probe(line: Line, owner: HostId): Promise<void> {
		const {self, getLocalOwner} = this.#options;
		const taken = takeMessage(line, this.#options);
		restoreMessage(line, taken);
		const message: GrantRequest = {...taken, asks: [], ends: []};
		delete message.held;
		const outcome: PeerOutcome<GrantAnswer> = owner === self
			? {kind: 'answered', answer: getLocalOwner().handle(self, message)}
			: await this.#call(line, owner, message);
		if (outcome.kind === 'answered' && outcome.answer.owner) {
			this.#rejoin(line);
			this.flush(line);
		} else {
			this.#fail(line);
		}
	}

	/** Moves a line back from this host's order to the owner's. */
	#rejoin(line: Line): void {
		const waiting = [...line.pending.values()].filter(pending => pending.upstream === undefined);
		const ends = waiting.map(({ticket}) => getWithdrawal(ticket));
		const message = takeMessage(line, this.#options);
		this.#options.getLocalOwner().handleDegraded({...message, asks: [], ends: [...message.ends, ...ends]});
		line.asks = new Set(waiting);
		line.mode = 'owner';
		line.owner = undefined;
		line.failures = 0;
		this.#options.metrics.count('grant_lines_recovered');
	}

	#takeOutcome(line: Line, message: GrantRequest, outcome: PeerOutcome<GrantAnswer>): void {
		switch (outcome.kind) {
			case 'answered': {
				this.#takeAnswer(line, message, outcome.answer);
				break;
			}

			case 'unreachable':
			case 'unknown': {
				this.#options.metrics.count('grant_exchange_failures', {kind: outcome.kind});
				restoreMessage(line, message);
				this.#fail(line);
				break;
			}
		}
	}

	#takeAnswer(line: Line, message: GrantRequest, answer: GrantAnswer): void {
		if (!answer.owner) {
			this.#options.metrics.count('grant_exchange_failures', {kind: 'not-owner'});
			restoreMessage(line, message);
			this.#fail(line, refusalsBeforeAlone);
			return;
		}

		line.failures = 0;
		line.sendsTickets = answer.wanted !== undefined && answer.wanted.length > 0;
		if (line.sendsTickets) {
			line.heartbeatAt = this.#options.clock.monotonic();
		}

		this.#apply(answer);
	}

	#fail(line: Line, mostFailures = failuresBeforeAlone): void {
		const {clock, random} = this.#options;
		line.failures++;
		line.owner = undefined;
		const delay = line.failures < mostFailures ? retryDelay : recoveryDelay;
		line.notBefore = clock.monotonic() + (delay * (0.5 + random.next()));
		if (line.failures >= mostFailures) {
			this.#separate(line);
			this.#exchangeAlone(line);
		}
	}

	/** Lets this host order the line's work on its share of the slots. */
	#separate(line: Line): void {
		if (line.mode === 'alone') {
			return;
		}

		line.mode = 'alone';
		line.heartbeatAt = this.#options.clock.monotonic();
		line.asks = new Set([...line.pending.values()].filter(pending => pending.upstream === undefined));
		this.#options.metrics.count('grant_lines_degraded');
	}
}
