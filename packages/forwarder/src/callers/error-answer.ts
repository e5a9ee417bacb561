import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	createFailure, cutResponse, errorTable, getErrorBody, type ErrorKind,
} from '@gentianlift/errors';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds, RunState} from '@gentianlift/types';
import type {CallerHead, Protocol} from '../protocol.js';
import {discardRequest} from './discard-request.js';
import type {ReceivedRequest} from './received-request.js';

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

/** Writes the head of an error answer; returns its body. */
const writeHead = ({response, protocol, caller, isClosing}: AnswerTarget, {kind, ran, retryAfter}: ErrorAnswer): Uint8Array => {
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
	return body;
};

/** Writes an error answer and ends the response. */
export const writeErrorAnswer = (target: AnswerTarget, errorAnswer: ErrorAnswer): void => {
	target.response.end(writeHead(target, errorAnswer));
};

/** Writes an error answer to a request that hasn't arrived completely; its rest is discarded before the connection is closed. */
export const writeEarlyErrorAnswer = (target: AnswerTarget, errorAnswer: ErrorAnswer, clock: Clock): void => {
	const {response} = target;
	response.write(writeHead({...target, isClosing: true}, errorAnswer));
	discardRequest(response.req, clock, () => {
		response.end();
	});
};

/** Answers a request whose handling has failed, which may have run it; closes the connection if an answer has begun. */
export const answerFailure = ({request, response}: Pick<ReceivedRequest, 'request' | 'response'>, protocol: Protocol): void => {
	if (response.headersSent || response.destroyed) {
		cutResponse(response);
		return;
	}

	writeErrorAnswer({
		response, protocol, caller: protocol.readCallerHead(request.rawHeaders), isClosing: true,
	}, {kind: 'internal'});
};

/** Answers a request of which only a part has arrived, unless its answer has begun; closes the connection. */
export const answerPartial = (response: ServerResponse, protocol: Protocol, kind: ErrorKind): void => {
	if (!response.headersSent) {
		writeErrorAnswer({
			response, protocol, caller: protocol.readCallerHead(response.req.rawHeaders), isClosing: true,
		}, {kind});
	}
};
