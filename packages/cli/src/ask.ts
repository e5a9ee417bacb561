import {exitCodes} from './exit-codes.js';
import type {OperatorCall, OperatorOutcome} from './operator-client.js';
import {createFailed, type Result} from './result.js';
import {missingOperators, type Session} from './session.js';
import type {OperatorTarget} from './targets.js';

/** An answer and the host that gave it, or the result that tells why there is none. */
export type Asked = {kind: 'answered'; target: OperatorTarget; body: unknown} | {kind: 'failed'; result: Result};

/** Gets the message of an error answer. */
export const getErrorMessage = (body: unknown): string => {
	const error = typeof body === 'object' && body !== null && 'error' in body ? body.error : undefined;
	const message = typeof error === 'object' && error !== null && 'message' in error ? error.message : undefined;
	return typeof message === 'string' ? message : JSON.stringify(body);
};

const okStatus = 200;
const unknownStatus = 404;

const getRefusal = ({host}: OperatorTarget, status: number, body: unknown): Result =>
	createFailed(exitCodes.failed, `${host} answered ${status}: ${getErrorMessage(body)}`, {host, status});

/** Makes a call to one host. */
export const askHost = async (session: Session, target: OperatorTarget, call: OperatorCall): Promise<Asked> => {
	const outcome = await session.call(target, call);
	if (outcome.kind === 'unreachable') {
		return {kind: 'failed', result: createFailed(exitCodes.unavailable, `${target.host} can't be reached: ${outcome.reason}`)};
	}

	const {status, body} = outcome;
	return status === okStatus ? {kind: 'answered', target, body} : {kind: 'failed', result: getRefusal(target, status, body)};
};

const isFinal = (outcome: OperatorOutcome): boolean => outcome.kind === 'answered' && outcome.status !== unknownStatus;

/** Makes a call to one host after another until one answers it. */
export const askAnyHost = async (session: Session, call: OperatorCall): Promise<Asked> => {
	let asked: Asked = {kind: 'failed', result: createFailed(exitCodes.usage, missingOperators)};
	for (const target of session.operators) {
		// eslint-disable-next-line no-await-in-loop -- The next host is asked only if this one has no answer.
		const outcome = await session.call(target, call);
		if (outcome.kind === 'answered') {
			const {status, body} = outcome;
			asked = status === okStatus ? {kind: 'answered', target, body} : {kind: 'failed', result: getRefusal(target, status, body)};
		} else if (asked.kind === 'failed' && asked.result.exitCode !== exitCodes.failed) {
			asked = {kind: 'failed', result: createFailed(exitCodes.unavailable, `${target.host} can't be reached: ${outcome.reason}`)};
		}

		if (isFinal(outcome)) {
			return asked;
		}
	}

	return asked;
};
