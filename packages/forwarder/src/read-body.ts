import {Buffer} from 'node:buffer';
import {isComplete, type Incoming} from './incoming.js';

/** Result of reading a body: `whole` if all of it arrived, `too-large` above the size limit, `broken` if the connection was lost before its end. */
export type Body
	= | {kind: 'whole'; bytes: Uint8Array}
		| {kind: 'too-large'}
		| {kind: 'broken'; reason: string};

/** Reads a body of at most `maxBytes` bytes. */
export const readBody = async (incoming: Incoming, maxBytes: number): Promise<Body> => new Promise(resolve => {
	const {message} = incoming;
	const chunks: Uint8Array[] = [];
	let length = 0;
	message.on('data', (chunk: Uint8Array) => {
		length += chunk.length;
		if (length > maxBytes) {
			resolve({kind: 'too-large'});
			return;
		}

		chunks.push(chunk);
	});
	message.once('end', () => {
		resolve(isComplete(incoming) ? {kind: 'whole', bytes: Buffer.concat(chunks)} : {kind: 'broken', reason: 'cut'});
	});
	message.once('error', (error: Error & {code?: string}) => {
		resolve({kind: 'broken', reason: error.code ?? error.message});
	});
	message.once('close', () => {
		resolve({kind: 'broken', reason: 'closed'});
	});
});
