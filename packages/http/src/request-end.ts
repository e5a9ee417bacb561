import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {endsWithConnection} from './framing.js';

/** What is known of the end of a request, beside its answer. */
export type RequestEnd = {
	/** Resolves once the request is written to its connection, or can't be any more. */
	requestEnd: Promise<void>;
	/** Whether the connection was lost before the request was written to it. */
	isRequestLost: () => boolean;
};

/** Whether a request that Node has finished was written. Node also finishes one whose connection fails, before it reports that. */
const isWritten = ({socket}: ClientRequest): boolean => socket !== null && !socket.destroyed && socket.errored === null;

const ignoreDestroy = function (this: Socket): Socket {
	return this;
};

/**
Keeps a connection that the server has ended until the request is written to it, if the end is that of the answer's body: Node would destroy it at once. Node ends the connection itself once the body has been read and the request is written.
*/
const holdConnection = (request: ClientRequest, socket: Socket, getAnswer: () => IncomingMessage | undefined): void => {
	const hold = (): void => {
		const answer = getAnswer();
		if (answer !== undefined && endsWithConnection(answer) && !request.writableFinished) {
			socket.destroy = ignoreDestroy;
		}
	};

	const release = (): void => {
		if (socket.destroy === ignoreDestroy) {
			Reflect.deleteProperty(socket, 'destroy');
		}
	};

	// Node's listener, which destroys the connection, runs between the two.
	socket.prependOnceListener('end', hold);
	socket.once('end', release);
	request.once('close', () => {
		socket.off('end', hold);
		socket.off('end', release);
	});
};

/**
Watches the end of a request.

A server may answer, and end its side of the connection, before it has read a request. The close ends an answer without length, unless the connection fails (RFC 9112, section 8); until the request is written, it still can.
*/
export const watchRequestEnd = (request: ClientRequest): RequestEnd => {
	let answer: IncomingMessage | undefined;
	request.once('response', message => {
		answer = message;
	});
	request.once('socket', socket => {
		holdConnection(request, socket, () => answer);
	});
	let state: 'open' | 'written' | 'lost' = 'open';
	const requestEnd = new Promise<void>(resolve => {
		request.once('finish', () => {
			state = isWritten(request) ? 'written' : 'lost';
			resolve();
		});
		request.once('close', () => {
			state = state === 'open' ? 'lost' : state;
			resolve();
		});
	});
	return {requestEnd, isRequestLost: () => state === 'lost'};
};
