import type {ServerResponse} from 'node:http';
import type {ErrorKind} from '@gentianlift/errors';
import type {ForwarderContext} from '../context.js';
import type {CallerHead} from '../protocol.js';
import {
	retryAfterDelays, writeEarlyErrorAnswer, writeErrorAnswer, type ErrorAnswer,
} from './error-answer.js';
import type {ReceivedRequest} from './received-request.js';

/** Refuses a request with an error answer, and logs it. */
export type Refusal = (received: ReceivedRequest, head: CallerHead, errorAnswer: ErrorAnswer) => void;

/** Errors that come from the state of this host, not from the request. */
const hostFaults = new Set<ErrorKind>(['not-configured', 'host-overloaded', 'host-stopping']);

/** Answer to requests that this host no longer handles, as it stops. */
export const stoppingAnswer: ErrorAnswer = {kind: 'host-stopping', retryAfter: retryAfterDelays['host-stopping']!};

/** Creates the refusal; `closesAfter` returns whether an answer closes its connection. A host that has forwarded a request is told to ask another host, where this one's state is the reason. */
export const createRefusal = (context: ForwarderContext, closesAfter: (response: ServerResponse) => boolean): Refusal => {
	const {
		clock, view, protocol, logger, metrics, reportExchange,
	} = context;
	return ({request, response, forwarded}, head, errorAnswer) => {
		const isHostsFault = forwarded !== undefined && hostFaults.has(errorAnswer.kind);
		metrics.count('refusals_total', {reason: errorAnswer.kind});
		logger.info('call-refused', {
			request: head.callerRequestId,
			reason: errorAnswer.kind,
			target: request.url,
			version: view.getRoutes()?.configuration.version,
			newest: reportExchange.getNewestConfigurationVersion(),
			revision: view.getRevision(),
			age: Math.round(view.getTimeSinceStoreContact(clock.monotonic())),
		});
		const isClosing = closesAfter(response) || errorAnswer.kind === 'body-too-large';
		const answer: ErrorAnswer = isHostsFault ? {kind: 'misdirected'} : errorAnswer;
		const target = {
			response, protocol, caller: head, isClosing,
		};
		if (request.complete || context.isStopping()) {
			writeErrorAnswer(target, answer);
		} else {
			writeEarlyErrorAnswer(target, answer, clock);
		}
	};
};
