import ModernError from 'modern-errors';
import type {Milliseconds, RunState} from '@gentianlift/types';
import {errorTable, type ErrorDefinition, type ErrorKind} from './kinds.js';

/** Options of `createFailure`. */
export type FailureOptions = {
	/** Text for the caller, appended to the kind's message. */
	detail?: string;
	/** Replaces the kind's run state if the actual one is known. */
	ran?: RunState;
	/** Time after which the caller may retry. */
	retryAfter?: Milliseconds;
	cause?: unknown;
};

/** Base class of all errors of the project. */
export const BaseError = ModernError.subclass('BaseError');

const RequestError = BaseError.subclass('RequestError');

/** Error of a failed request, with one of the error kinds. */
export type RequestFailure = Error & {
	kind: ErrorKind;
	ran: RunState;
	retryAfter: Milliseconds | undefined;
};

/** Creates the error of a failed request. */
export const createFailure = (kind: ErrorKind, options: FailureOptions = {}): RequestFailure => {
	const definition: ErrorDefinition = errorTable[kind];
	const message = options.detail === undefined ? definition.message : `${definition.message} ${options.detail}`;
	const props = {kind, ran: options.ran ?? definition.ran, retryAfter: options.retryAfter};
	return new RequestError(message, options.cause === undefined ? {props} : {props, cause: options.cause});
};

/** Returns whether a thrown value is a request failure. */
export const isRequestFailure = (thrown: unknown): thrown is RequestFailure => thrown instanceof RequestError;

/** Returns a thrown value if it is a request failure, and otherwise an `internal` failure with the value as its cause. */
export const toRequestFailure = (thrown: unknown): RequestFailure =>
	isRequestFailure(thrown) ? thrown : createFailure('internal', {cause: thrown});
