import {Buffer} from 'node:buffer';
import type {Incoming} from '../send/incoming.js';
import type {BodyEnd} from './body-end.js';
import {receiveBody} from './receive-body.js';

/** Result of reading a body: `whole` if all of it arrived, `too-large` above the size limit, `broken` if it ended before. */
export type Body
	= | {kind: 'whole'; bytes: Uint8Array; end: BodyEnd}
		| {kind: 'too-large'}
		| {kind: 'broken'; reason: string; end: BodyEnd};

/** Reads a body of at most `maxBytes` bytes. The bytes beyond are discarded until the message is destroyed or ends. */
export const readBody = async (incoming: Incoming, maxBytes: number): Promise<Body> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	let length = 0;
	const read = (chunk: Uint8Array): void => {
		length += chunk.length;
		if (length > maxBytes) {
			chunks.length = 0;
			resolve({kind: 'too-large'});
			return;
		}

		chunks.push(chunk);
	};

	const finish = async (): Promise<void> => {
		const {end, error} = await receiveBody(incoming, {read, getContent: () => ({kind: 'opaque'})});
		resolve(end.verdict.kind === 'whole'
			? {kind: 'whole', bytes: Buffer.concat(chunks), end}
			: {kind: 'broken', reason: error ?? end.verdict.reason, end});
	};

	void finish();
});
