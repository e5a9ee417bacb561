import {finished} from 'node:stream';
import {decodeText, joinBytes} from './bytes.js';
import type {Answer, ExchangeFailure} from './exchange.js';

/** A whole body, or why it couldn't be read whole. */
export type Body = {kind: 'read'; text: string} | ExchangeFailure;

/** Most bytes of a short answer, such as a report or an error. */
const maxBytes = 1_048_576;

/** Reads a short answer whole. */
export const readBody = async ({response, silence, abandon, getFailure, finish}: Answer): Promise<Body> => new Promise(resolve => {
	const pieces: Uint8Array[] = [];
	let length = 0;
	response.on('data', (piece: Uint8Array) => {
		silence.touch();
		pieces.push(piece);
		length += piece.length;
		if (length > maxBytes) {
			abandon({kind: 'reset', reason: 'body-too-long'});
		}
	});
	finished(response, error => {
		finish();
		const failure: ExchangeFailure = getFailure() ?? {kind: 'reset', reason: 'body'};
		resolve(error ? failure : {kind: 'read', text: decodeText(joinBytes(pieces))});
	});
});
