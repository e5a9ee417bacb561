import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {createChunkReader, type ChunkReader} from './chunk-reader.js';
import {endsWithConnection, hasBody} from './framing.js';
import {createHeadReader, type HeadProgress} from './head-reader.js';
import {watchRequestEnd, type RequestEnd} from './request-end.js';
import {watchReset} from './watch-reset.js';

/** Why an answer whose head has come is none: `head-malformed` if a part of the head isn't HTTP, `status-invalid` if no final answer has its status, `coding-unknown` if its body is in another transfer coding than chunks. */
export type HeadFault = 'head-malformed' | 'status-invalid' | 'coding-unknown';

/** Why a body that Node reports as ended isn't whole: `end-malformed` if its chunks or its trailer aren't HTTP, `reset` if it ends with its connection, and that has failed. */
export type EndFault = 'end-malformed' | 'reset';

/** What Node's parser, which is more lenient, doesn't tell of the answer to a request. */
export type AnswerCheck = Pick<RequestEnd, 'requestEnd'> & {
	/** Whether a part of the head that has just come isn't HTTP, for answers that open a connection of another protocol. */
	isHeadMalformed: () => boolean;
	/** Returns why the answer whose head has just come is none; undefined if it is one. */
	getHeadFault: (message: IncomingMessage) => HeadFault | undefined;
	/** Whether the chunks or the trailer of the body aren't HTTP; asked once the body has ended or its connection is lost. */
	isBodyMalformed: () => boolean;
	/** Whether the connection has failed, which matters for a body that ends with it. */
	hasConnectionFailed: () => boolean;
	/** Resolves with why the body, of which Node has reported the end, isn't whole; undefined if it is. Waits for the end of the request where the body ends with the connection. */
	findEndFault: () => Promise<EndFault | undefined>;
};

const noBytes = new Uint8Array();

/** Bounds of the statuses of final answers (RFC 9110, section 15). */
const minStatus = 200;
const maxStatus = 599;

/** Whether a final answer may have a status; Node reports an answer with 101, after which the connection speaks another protocol. */
const isFinalStatus = (status: number): boolean => status >= minStatus && status <= maxStatus;

const isInChunks = ({headers}: IncomingMessage): boolean => headers['transfer-encoding']?.toLowerCase() === 'chunked';

/** Whether a body is in a coding that isn't taken off here; Node reads one up to the end of its connection. */
const isInUnknownCoding = (message: IncomingMessage): boolean => message.headers['transfer-encoding'] !== undefined && !isInChunks(message);

/**
Checks the answer to a request as its bytes arrive. Call it before the request has a connection.

Node's parser takes a name with a blank for that of a field, and a byte 10 or 13 at the start of a line for the end of the head, so that the rest of it passes for a body. Behind chunks it takes any bytes for a line end.
*/
export const checkAnswer = (request: ClientRequest): AnswerCheck => {
	const headReader = createHeadReader();
	let head: HeadProgress = {kind: 'open'};
	let answer: IncomingMessage | undefined;
	let chunkReader: ChunkReader | undefined;

	const isHeadMalformed = (): boolean => head.kind !== 'ended';

	/** Reads bytes; returns whether what follows matters. */
	const read = (bytes: Uint8Array): boolean => {
		if (chunkReader !== undefined) {
			chunkReader.read(bytes);
			return !chunkReader.hasEnded() && !chunkReader.isMalformed();
		}

		if (head.kind !== 'open') {
			return false;
		}

		head = headReader.read(bytes);
		return head.kind !== 'malformed';
	};

	request.once('socket', (socket: Socket) => {
		const onData = (bytes: Uint8Array): void => {
			if (!read(bytes)) {
				socket.off('data', onData);
			}
		};

		// The bytes are read before Node's parser gets them, so that a head is known when the parser reports it.
		socket.prependListener('data', onData);
		request.once('close', () => {
			socket.off('data', onData);
		});
	});
	request.once('response', message => {
		answer = message;
		if (head.kind !== 'ended') {
			return;
		}

		if (isInChunks(message) && hasBody(message, request.method)) {
			chunkReader = createChunkReader();
			chunkReader.read(head.rest);
		}

		// What was read with the head isn't kept while the body is received.
		head = {kind: 'ended', rest: noBytes};
	});
	const isBodyMalformed = (): boolean => chunkReader?.isMalformed() === true || (answer?.complete === true && chunkReader?.hasEnded() === false);

	const {requestEnd, isRequestLost} = watchRequestEnd(request);
	const wasReset = watchReset(request);
	const hasConnectionFailed = (): boolean => wasReset() || isRequestLost();

	return {
		requestEnd,
		hasConnectionFailed,
		isHeadMalformed,
		getHeadFault(message) {
			if (isHeadMalformed()) {
				return 'head-malformed';
			}

			if (!isFinalStatus(message.statusCode ?? 0)) {
				return 'status-invalid';
			}

			return isInUnknownCoding(message) ? 'coding-unknown' : undefined;
		},
		isBodyMalformed,
		async findEndFault() {
			if (isBodyMalformed()) {
				return 'end-malformed';
			}

			if (answer === undefined || !endsWithConnection(answer)) {
				return undefined;
			}

			await requestEnd;
			return hasConnectionFailed() ? 'reset' : undefined;
		},
	};
};
