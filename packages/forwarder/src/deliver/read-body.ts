import {createByteCollector} from '../memory/byte-collector.js';
import {createChunkSizes} from '../memory/small-chunks.js';
import {unlimitedBytes, type HeldBytes} from '../memory/memory-budget.js';
import type {Incoming} from '../send/incoming.js';
import type {BodyEnd} from './body-end.js';
import {receiveBody} from './receive-body.js';

/** Result of reading a body: `whole` if all of it arrived, `too-large` above the size limit or if it comes in too many small chunks, `released` if the host had no memory for it, `broken` if it ended before. */
export type Body
	= | {kind: 'whole'; bytes: Uint8Array; end: BodyEnd}
		| {kind: 'too-large'}
		| {kind: 'released'}
		| {kind: 'broken'; reason: string; end: BodyEnd};

/** Most small chunks of a body; a chunk may be as small as a token of a text. */
const maxSmallChunks = 16_384;

/** Reads a body of at most `maxBytes` bytes, which `held` counts. The bytes beyond are discarded until the message is destroyed or ends. */
export const readBody = async (incoming: Incoming, maxBytes: number, held: HeldBytes = unlimitedBytes): Promise<Body> => new Promise(resolve => {
	const bytes = createByteCollector();
	const sizes = createChunkSizes(maxSmallChunks);
	let isDiscarding = false;

	/** Gives up what was read and what will be. */
	const discard = (kind: 'too-large' | 'released'): void => {
		isDiscarding = true;
		bytes.take();
		held.end();
		resolve({kind});
	};

	const release = (): void => {
		discard('released');
	};

	const read = (chunk: Uint8Array): void => {
		if (isDiscarding) {
			return;
		}

		bytes.push(chunk);
		if (sizes.add(chunk) || bytes.getLength() > maxBytes) {
			discard('too-large');
			return;
		}

		held.hold(bytes.getLength(), release);
	};

	held.hold(0, release);

	const finish = async (): Promise<void> => {
		const {end, error} = await receiveBody(incoming, {read, getContent: () => ({kind: 'opaque'})});
		if (end.verdict.kind !== 'whole') {
			held.end();
		}

		resolve(end.verdict.kind === 'whole'
			? {kind: 'whole', bytes: bytes.take(), end}
			: {kind: 'broken', reason: error ?? end.verdict.reason, end});
	};

	void finish();
});
