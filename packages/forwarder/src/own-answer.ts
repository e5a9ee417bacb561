import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	createFailure, errorTable, getErrorBody, type ErrorKind,
} from '@gentianlift/errors';
import type {Milliseconds, RunState} from '@gentianlift/types';
import type {CallerHead, Protocol} from './protocol.js';

/** An answer of the router itself. */
export type OwnAnswer = {
	kind: ErrorKind;
	/** What is known of the request, where it differs from the kind's. */
	ran?: RunState;
	/** When it is of use to come back. */
	retryAfter?: Milliseconds;
};

/** What an answer is written to. */
export type AnswerTarget = {
	response: ServerResponse;
	protocol: Protocol;
	caller: CallerHead | undefined;
	/** Whether the connection is closed after the answer. */
	isLast: boolean;
};

const millisecondsPerSecond = 1000;
const decimals = 3;

const getRetryHeader = (retryAfter: Milliseconds | undefined): string[] =>
	retryAfter === undefined ? [] : ['Retry-After', (retryAfter / millisecondsPerSecond).toFixed(decimals)];

/** Writes an error answer and ends it. */
export const writeOwnAnswer = ({response, protocol, caller, isLast}: AnswerTarget, {kind, ran, retryAfter}: OwnAnswer): void => {
	const detail = {...(ran !== undefined && {ran}), ...(retryAfter !== undefined && {retryAfter})};
	const body = Buffer.from(JSON.stringify(getErrorBody(createFailure(kind, detail), caller?.attempt ?? '')));
	const headers = [
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
		...getRetryHeader(retryAfter),
		...protocol.writeOwnHead(caller),
		...(isLast ? ['Connection', 'close'] : []),
	];
	response.writeHead(errorTable[kind].status, headers);
	response.end(body);
};
