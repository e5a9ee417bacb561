import type {Rank, RequestId} from '@gentianlift/types';
import type {HeldRequest} from './types.js';

/** Maximum number of waiting requests of one host. */
const maxHostWaiting = 2000;
/** Maximum memory that the waiting requests of one host take up. */
const maxHostWaitingBytes = 67_108_864;

/** The requests that wait and run at this host, and the number and memory of the waiting ones. */
export class HeldRequests {
	readonly #requests = new Map<RequestId, HeldRequest>();
	#waiting = 0;
	#bytes = 0;

	get(request: RequestId): HeldRequest | undefined {
		return this.#requests.get(request);
	}

	/** Adds a request as the newest; `beginWait` and `endWait` count whether it waits. */
	add(held: HeldRequest): void {
		this.#requests.set(held.ticket.request, held);
	}

	/** Removes a request that no longer waits, or one that is added again. */
	remove(held: HeldRequest): void {
		this.#requests.delete(held.ticket.request);
	}

	/** Counts a request as waiting. */
	beginWait({bytes}: HeldRequest): void {
		this.#waiting++;
		this.#bytes += bytes;
	}

	/** Stops counting a request as waiting. */
	endWait({bytes}: HeldRequest): void {
		this.#waiting--;
		this.#bytes -= bytes;
	}

	/** Returns whether one more request, which takes up the given memory, may wait. */
	hasRoom(bytes: number): boolean {
		return this.#waiting < maxHostWaiting && this.#bytes + bytes <= maxHostWaitingBytes;
	}

	/** Returns the newest waiting request of the lowest rank below the given one; a larger rank is lower. */
	getLowestRanked(above: Rank): HeldRequest | undefined {
		let lowest: HeldRequest | undefined;
		for (const held of this.#requests.values()) {
			if (held.upstream === undefined && held.rank > above && held.rank >= (lowest?.rank ?? 0)) {
				lowest = held;
			}
		}

		return lowest;
	}

	/** Returns all requests, oldest first; the iterator shows additions and removals that are made meanwhile. */
	values(): Iterable<HeldRequest> {
		return this.#requests.values();
	}

	/** Returns the numbers of waiting and running requests, and the memory in bytes that the waiting ones take up. */
	getCounts(): {waiting: number; running: number; bytes: number} {
		return {waiting: this.#waiting, running: this.#requests.size - this.#waiting, bytes: this.#bytes};
	}
}
