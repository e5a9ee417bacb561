import {joinBytes} from './bytes.js';

/** Bytes for the caller: whole events of a generation, or a piece of a service's answer. */
export type Chunk = {
	bytes: Uint8Array;
	/** Output tokens in the bytes. */
	tokens: number;
};

/** Passes chunks from a connection to one reader and holds the connection back while the reader is slow. */
export type Delivery = {
	push: (bytes: Uint8Array, tokens: number) => void;
	end: () => void;
	chunks: AsyncIterable<Chunk>;
};

/** What a delivery asks of the connection. */
export type Flow = {
	pause: () => void;
	resume: () => void;
	/** The reader wants no more. */
	cancel: () => void;
};

/** Bytes that may wait for the reader before the connection is held back. */
const highWaterMark = 65_536;

/** Creates an empty delivery. Chunks that wait are joined into one. */
export const createDelivery = (flow: Flow): Delivery => {
	let waiting: Uint8Array[] = [];
	let length = 0;
	let tokens = 0;
	let isEnded = false;
	let isPaused = false;
	let wake: ((result: IteratorResult<Chunk>) => void) | undefined;

	const take = (): Chunk => {
		const chunk = {bytes: joinBytes(waiting), tokens};
		waiting = [];
		length = 0;
		tokens = 0;
		return chunk;
	};

	const resume = (): void => {
		if (isPaused) {
			isPaused = false;
			flow.resume();
		}
	};

	const next = async (): Promise<IteratorResult<Chunk>> => {
		if (length > 0) {
			const value = take();
			resume();
			return {done: false, value};
		}

		return isEnded
			? {done: true, value: undefined}
			: new Promise(resolve => {
				wake = resolve;
			});
	};

	const deliver = (result: IteratorResult<Chunk>): void => {
		const reader = wake;
		wake = undefined;
		reader?.(result);
	};

	return {
		push(bytes, count) {
			if (isEnded || bytes.length === 0) {
				return;
			}

			if (wake !== undefined) {
				deliver({done: false, value: {bytes, tokens: count}});
				return;
			}

			waiting.push(bytes);
			length += bytes.length;
			tokens += count;
			if (length > highWaterMark && !isPaused) {
				isPaused = true;
				flow.pause();
			}
		},
		end() {
			isEnded = true;
			deliver({done: true, value: undefined});
		},
		chunks: {
			[Symbol.asyncIterator]: () => ({
				next,
				async return() {
					flow.cancel();
					return {done: true, value: undefined};
				},
			}),
		},
	};
};
