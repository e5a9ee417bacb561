import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	createFailure, errorTable, getErrorBody, type ErrorKind,
} from '@gentianlift/errors';
import type {Milliseconds, RunState} from '@gentianlift/types';
import type {CallerHead, Protocol} from '../protocol.js';

/** An error answer that the router generates itself. */
export type ErrorAnswer = {
	kind: ErrorKind;
	/** Whether the request was executed, if it differs from the default of the kind. */
	ran?: RunState;
	/** Delay after which a retry is useful. */
	retryAfter?: Milliseconds;
};

/** The response that an answer is written to. */
export type AnswerTarget = {
	response: ServerResponse;
	protocol: Protocol;
	caller: CallerHead | undefined;
	/** Whether the connection is closed after the answer. */
	isClosing: boolean;
};

/** Retry-After of refusals for the state of this host: until it has a configuration, or for a retry on another host. */
export const retryAfterDelays: Partial<Record<ErrorKind, Milliseconds>> = {'not-configured': 500, 'host-overloaded': 200, 'host-stopping': 20};

const millisecondsPerSecond = 1000;
/** The delays are often shorter than a second, so the header gives fractions of one. */
const retryAfterDecimals = 3;

const getRetryHeader = (retryAfter: Milliseconds | undefined): string[] =>
	retryAfter === undefined ? [] : ['Retry-After', (retryAfter / millisecondsPerSecond).toFixed(retryAfterDecimals)];

/** Writes an error answer and ends the response. */
export const writeErrorAnswer = ({response, protocol, caller, isClosing}: AnswerTarget, {kind, ran, retryAfter}: ErrorAnswer): void => {
	const detail = {...(ran !== undefined && {ran}), ...(retryAfter !== undefined && {retryAfter})};
	const body = Buffer.from(JSON.stringify(getErrorBody(createFailure(kind, detail), caller?.callerRequestId ?? '')));
	const headers = [
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
		...getRetryHeader(retryAfter),
		...protocol.buildErrorHeaders(caller),
		...(isClosing ? ['Connection', 'close'] : []),
	];
	response.writeHead(errorTable[kind].status, headers);
	response.end(body);
};
