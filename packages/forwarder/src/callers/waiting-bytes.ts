import type {IncomingMessage} from 'node:http';
import {getDeclaredBytes} from './receive-request-body.js';

/** Estimated memory, in bytes, of the objects of a request and its response. */
const requestBytes = 4096;
/** Estimated memory, in bytes, of a header field beside its characters: its strings, and its entries in the raw list and in the object of headers. */
const fieldBytes = 112;
/** Most bytes of a body that arrive before its connection isn't read any further: those of one read. */
const maxBufferedBytes = 64 * 1024;

const getTextBytes = (texts: readonly string[]): number => {
	let bytes = 0;
	for (const text of texts) {
		bytes += text.length;
	}

	return bytes;
};

/** Returns the bytes of a body that is not being read which may be buffered. */
const getBufferedBytes = (request: IncomingMessage): number => {
	const bytes = request.headers['transfer-encoding'] === undefined ? getDeclaredBytes(request) : maxBufferedBytes;
	return Math.min(bytes, maxBufferedBytes);
};

/** Estimates the memory, in bytes, that a request takes while it waits: its objects, its head and what may arrive of its body. */
export const estimateWaitingBytes = (request: IncomingMessage): number =>
	requestBytes + (request.rawHeaders.length / 2 * fieldBytes) + getTextBytes(request.rawHeaders) + getBufferedBytes(request);
