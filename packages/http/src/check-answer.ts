import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {createHeadReader, type HeadProgress} from './head-reader.js';

/** Why an answer whose head has come is none: `head-malformed` if a part of the head isn't HTTP, `status-invalid` if no final answer has its status. */
export type HeadFault = 'head-malformed' | 'status-invalid';

/** What Node's parser, which is more lenient, doesn't tell of the answer to a request. */
export type AnswerCheck = {
	/** Whether a part of the head that has just come isn't HTTP, for answers that open a connection of another protocol. */
	isHeadMalformed: () => boolean;
	/** Returns why the answer whose head has just come is none; undefined if it is one. */
	getHeadFault: (message: IncomingMessage) => HeadFault | undefined;
};

/** Bounds of the statuses of final answers (RFC 9110, section 15). */
const minStatus = 200;
const maxStatus = 599;

/** Whether a final answer may have a status; Node reports an answer with 101, after which the connection speaks another protocol. */
const isFinalStatus = (status: number): boolean => status >= minStatus && status <= maxStatus;

/**
Checks the answer to a request as its bytes arrive. Call it before the request has a connection.

Node's parser takes a name with a blank for that of a field, and a byte 10 or 13 at the start of a line for the end of the head, so that the rest of it passes for a body.
*/
export const checkAnswer = (request: ClientRequest): AnswerCheck => {
	const reader = createHeadReader();
	let progress: HeadProgress = {kind: 'open'};

	request.once('socket', (socket: Socket) => {
		const read = (chunk: Uint8Array): void => {
			progress = reader.read(chunk);
			if (progress.kind !== 'open') {
				socket.off('data', read);
			}
		};

		// The bytes are read before Node's parser gets them, so that a head is known when the parser reports it.
		socket.prependListener('data', read);
		request.once('close', () => {
			socket.off('data', read);
		});
	});
	const isHeadMalformed = (): boolean => progress.kind !== 'ended';

	return {
		isHeadMalformed,
		getHeadFault({statusCode = 0}) {
			if (isHeadMalformed()) {
				return 'head-malformed';
			}

			return isFinalStatus(statusCode) ? undefined : 'status-invalid';
		},
	};
};
