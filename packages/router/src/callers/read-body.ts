import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import {createFailure} from '@gentianlift/errors';
import type {CallerLimits} from '@gentianlift/types';

/**
Reads the complete body of a request.

Throws `body-too-large`, `body-timeout` or `bad-request` for a connection that closes early. After a timeout or an excess of the limit it reads nothing more.
*/
export const readBody = async (request: IncomingMessage, limits: CallerLimits, clock: Clock): Promise<Uint8Array> => {
	if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
		throw createFailure('body-too-large', {detail: `The limit is ${limits.bodyBytes} bytes.`});
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		const cancel = clock.after(limits.bodyTimeout, () => {
			request.pause();
			reject(createFailure('body-timeout'));
		});

		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			chunks.push(chunk);
			if (size > limits.bodyBytes) {
				cancel();
				request.pause();
				reject(createFailure('body-too-large', {detail: `The limit is ${limits.bodyBytes} bytes.`}));
			}
		});
		request.on('end', () => {
			cancel();
			resolve(Buffer.concat(chunks));
		});
		request.on('close', () => {
			cancel();
			if (!request.complete) {
				reject(createFailure('bad-request', {detail: 'The connection closed before the body was complete.'}));
			}
		});
	});
};
