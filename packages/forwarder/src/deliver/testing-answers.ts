import {Buffer} from 'node:buffer';
import type {Framing} from '@gentianlift/http';
import type {AnswerHandler} from '../test-deployment.js';

/** An answer that a stub upstream writes as raw bytes. */
export type RawAnswer = {
	/** 200 if it isn't named. */
	status?: number;
	framing: Framing;
	contentType: 'text/event-stream' | 'application/json';
	body: string;
	/** How the answer ends: `framed` with all of its length or its last chunk; `closed` and `reset` end the connection after the body's bytes. */
	ending: 'framed' | 'closed' | 'reset';
};

/** Bytes that a length announces beyond those of a body that is cut. */
const missingBytes = 10;
/** Time in milliseconds after which a connection is reset, so that the bytes before have been read. */
const resetDelay = 20;

const getFramingHeader = ({framing, body, ending}: RawAnswer): string => {
	const length = Buffer.byteLength(body) + (ending === 'framed' ? 0 : missingBytes);
	const headers: Record<Framing, string> = {
		length: `Content-Length: ${length}\r\n`,
		chunks: 'Transfer-Encoding: chunked\r\n',
		close: 'Connection: close\r\n',
	};
	return headers[framing];
};

const getFramedBody = ({framing, body, ending}: RawAnswer): string => {
	if (framing !== 'chunks') {
		return body;
	}

	const lastChunk = ending === 'framed' ? '0\r\n\r\n' : '';
	return `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n${lastChunk}`;
};

/** Creates a handler that writes an answer with the marks of an upstream. */
export const answerRaw = (answer: RawAnswer): AnswerHandler => ({socket, headers}) => {
	socket.write(`HTTP/1.1 ${answer.status ?? 200} -\r\nSigned: 1\r\nAttempt: ${headers.attempt as string}\r\nContent-Type: ${answer.contentType}\r\n${getFramingHeader(answer)}\r\n`);
	socket.write(getFramedBody(answer), () => {
		if (answer.ending === 'closed') {
			socket.end();
		} else if (answer.ending === 'reset') {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, resetDelay);
		}
	});
};
