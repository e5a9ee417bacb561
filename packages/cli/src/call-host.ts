import {exitCodes} from './exit-codes.js';
import type {OperatorCall, OperatorOutcome} from './operator-client.js';
import {createFailure, type Result} from './result.js';
import {missingOperatorsMessage, type Session} from './session.js';
import type {OperatorEndpoint} from './endpoints.js';

/** Successful answer with the host that gave it, or the result of the command if there is none. */
export type HostAnswer = {kind: 'answered'; endpoint: OperatorEndpoint; body: unknown} | {kind: 'failed'; result: Result};

/** Returns the message of an error answer, or the whole body as JSON if it has none. */
export const getErrorMessage = (body: unknown): string => {
	const error = typeof body === 'object' && body !== null && 'error' in body ? body.error : undefined;
	const message = typeof error === 'object' && error !== null && 'message' in error ? error.message : undefined;
	return typeof message === 'string' ? message : JSON.stringify(body);
};

const okStatus = 200;
const notFoundStatus = 404;

const createRefusal = ({host}: OperatorEndpoint, status: number, body: unknown): Result =>
	createFailure(exitCodes.failed, `${host} answered ${status}: ${getErrorMessage(body)}`, {host, status});

/** Returns the answer of a host, or the result of the command if there is none. */
const readOutcome = (endpoint: OperatorEndpoint, outcome: OperatorOutcome): HostAnswer => {
	switch (outcome.kind) {
		case 'answered': {
			const {status, body} = outcome;
			return status === okStatus ? {kind: 'answered', endpoint, body} : {kind: 'failed', result: createRefusal(endpoint, status, body)};
		}

		case 'unreadable': {
			return {kind: 'failed', result: createFailure(exitCodes.unavailable, `${endpoint.host} gave no answer that can be read: ${outcome.reason}. What it was asked may have been done.`)};
		}

		case 'unreachable': {
			return {kind: 'failed', result: createFailure(exitCodes.unavailable, `${endpoint.host} can't be reached: ${outcome.reason}`)};
		}
	}
};

/** Calls one host. */
export const callHost = async (session: Session, endpoint: OperatorEndpoint, call: OperatorCall): Promise<HostAnswer> =>
	readOutcome(endpoint, await session.call(endpoint, call));

const isFinal = (outcome: OperatorOutcome): boolean => outcome.kind === 'answered' && outcome.status !== notFoundStatus;

/** Calls one host after another until one gives an answer other than 404. If none does, returns the last failure, where a 404 outweighs an unreachable host. */
export const callAnyHost = async (session: Session, call: OperatorCall): Promise<HostAnswer> => {
	let answer: HostAnswer = {kind: 'failed', result: createFailure(exitCodes.usage, missingOperatorsMessage)};
	for (const endpoint of session.operators) {
		// eslint-disable-next-line no-await-in-loop -- The next host is called only if this one has no final answer.
		const outcome = await session.call(endpoint, call);
		if (outcome.kind === 'answered' || (answer.kind === 'failed' && answer.result.exitCode !== exitCodes.failed)) {
			answer = readOutcome(endpoint, outcome);
		}

		if (isFinal(outcome)) {
			return answer;
		}
	}

	return answer;
};
