import ModernError from 'modern-errors';
import type {Milliseconds, RunState} from '@gentianlift/types';
import {errorTable, type ErrorAnswer, type ErrorKind} from './kinds.js';

/** What is known beside the kind of a failure. */
export type FailureDetail = {
	/** Detail for the caller, after the kind's message. */
	detail?: string;
	/** Overrides the kind's run state where more is known. */
	ran?: RunState;
	/** When a retry is of use. */
	retryAfter?: Milliseconds;
	cause?: unknown;
};

/** Parent of all errors of the project. */
export const BaseError = ModernError.subclass('BaseError');

const RequestError = BaseError.subclass('RequestError');

/** A request's failure, of one of the closed list of kinds; thrown and caught like any error. */
export type RequestFailure = Error & {
	kind: ErrorKind;
	ran: RunState;
	retryAfter: Milliseconds | undefined;
};

/** Creates the failure of a request. */
export const createFailure = (kind: ErrorKind, detail: FailureDetail = {}): RequestFailure => {
	const entry: ErrorAnswer = errorTable[kind];
	const message = detail.detail === undefined ? entry.message : `${entry.message} ${detail.detail}`;
	const props = {kind, ran: detail.ran ?? entry.ran, retryAfter: detail.retryAfter};
	return new RequestError(message, detail.cause === undefined ? {props} : {props, cause: detail.cause});
};

/** Whether something thrown is a request's failure. */
export const isFailure = (thrown: unknown): thrown is RequestFailure => thrown instanceof RequestError;

/** Gets the failure to report for anything that was thrown; an unforeseen one is `internal`. */
export const getFailure = (thrown: unknown): RequestFailure =>
	isFailure(thrown) ? thrown : createFailure('internal', {cause: thrown});
