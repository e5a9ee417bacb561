import {waitForBodyEnd} from './body-end.js';
import {decodeText, joinBytes} from './bytes.js';
import type {UpstreamResponse, ExchangeFailure} from './exchange.js';

/** A complete body, or why it could not be read to its end. */
export type BodyOutcome = {kind: 'read'; text: string} | ExchangeFailure;

/** Maximum size of a short response body, such as a load report or an error. */
const maxBodyBytes = 1_048_576;

/** Reads a short response body to its end. */
export const readBody = async (response: UpstreamResponse): Promise<BodyOutcome> => {
	const {message, silenceTimer, abort, release} = response;
	const pieces: Uint8Array[] = [];
	let length = 0;
	message.on('data', (piece: Uint8Array) => {
		silenceTimer.recordActivity();
		pieces.push(piece);
		length += piece.length;
		if (length > maxBodyBytes) {
			abort({kind: 'reset', reason: 'body-too-long'});
		}
	});
	const failure = await waitForBodyEnd(response, 'body');
	release();
	return failure ?? {kind: 'read', text: decodeText(joinBytes(pieces))};
};
