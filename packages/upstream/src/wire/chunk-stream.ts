import {joinBytes} from './bytes.js';

/** Bytes for the caller: complete events of a generation, or a piece of a service's response body. */
export type StreamChunk = {
	bytes: Uint8Array;
	/** Number of output tokens in the bytes. */
	tokens: number;
};

/** Passes chunks from a connection to a single reader, with backpressure on the connection while the reader is slow. */
export type ChunkStream = {
	push: (bytes: Uint8Array, tokens: number) => void;
	end: () => void;
	chunks: AsyncIterable<StreamChunk>;
};

/** Callbacks with which a chunk stream controls its connection. */
export type FlowControl = {
	pause: () => void;
	resume: () => void;
	/** Called when the reader stops before the end. */
	cancel: () => void;
};

/** Number of buffered bytes above which the connection is paused. */
const highWaterMarkBytes = 65_536;

/** Creates an empty chunk stream. Buffered chunks are joined into one before they are read. */
export const createChunkStream = (flowControl: FlowControl): ChunkStream => {
	let pending: Uint8Array[] = [];
	let pendingBytes = 0;
	let pendingTokens = 0;
	let isEnded = false;
	let isPaused = false;
	let resolveNext: ((result: IteratorResult<StreamChunk>) => void) | undefined;

	const takePending = (): StreamChunk => {
		const chunk = {bytes: joinBytes(pending), tokens: pendingTokens};
		pending = [];
		pendingBytes = 0;
		pendingTokens = 0;
		return chunk;
	};

	const resume = (): void => {
		if (isPaused) {
			isPaused = false;
			flowControl.resume();
		}
	};

	const next = async (): Promise<IteratorResult<StreamChunk>> => {
		if (pendingBytes > 0) {
			const value = takePending();
			resume();
			return {done: false, value};
		}

		return isEnded
			? {done: true, value: undefined}
			: new Promise(resolve => {
				resolveNext = resolve;
			});
	};

	const resolveReader = (result: IteratorResult<StreamChunk>): void => {
		const resolve = resolveNext;
		resolveNext = undefined;
		resolve?.(result);
	};

	return {
		push(bytes, tokenCount) {
			if (isEnded || bytes.length === 0) {
				return;
			}

			if (resolveNext !== undefined) {
				resolveReader({done: false, value: {bytes, tokens: tokenCount}});
				return;
			}

			pending.push(bytes);
			pendingBytes += bytes.length;
			pendingTokens += tokenCount;
			if (pendingBytes > highWaterMarkBytes && !isPaused) {
				isPaused = true;
				flowControl.pause();
			}
		},
		end() {
			isEnded = true;
			resolveReader({done: true, value: undefined});
		},
		chunks: {
			[Symbol.asyncIterator]: () => ({
				next,
				async return() {
					flowControl.cancel();
					return {done: true, value: undefined};
				},
			}),
		},
	};
};
