import {createFailure, toRequestFailure, type RequestFailure} from '@gentianlift/errors';
import type {ClassifiedRequest, RunState} from '@gentianlift/types';
import {runClaimedRequest, type ClaimedRequestEnd} from '../dispatch/run-claimed.js';
import type {HostContext} from '../host-context.js';
import type {Exchange} from './exchange.js';
import {sendClaimedResult} from './claimed-response.js';

/** End of a request without a complete response. */
export type UnfinishedResult
	= | {kind: 'stopped'; ran: RunState}
		| {kind: 'failed'; failure: RequestFailure};

/** Handles the end of a request without a complete response: records the cancellation if the caller has disconnected, else throws the failure to report. */
export const handleUnfinished = (context: HostContext, {response}: Exchange, request: ClassifiedRequest, end: UnfinishedResult): void => {
	if (end.kind === 'failed') {
		throw end.failure;
	}

	if (context.inFlightRequests.abortController.signal.aborted) {
		throw createFailure('forced-stop', {ran: end.ran});
	}

	context.accounts.apply({kind: 'cancelled', request: request.id, ran: end.ran});
	context.metrics.count('cancelled_total', {class: request.className});
	response.destroy();
};

/** Returns the end with which the claim of a request without a complete response is settled. */
export const getUnfinishedClaimEnd = (end: UnfinishedResult): ClaimedRequestEnd => {
	switch (end.kind) {
		case 'stopped': {
			return {kind: 'failed', failure: createFailure('outcome-unknown', {ran: end.ran})};
		}

		case 'failed': {
			return {kind: 'failed', failure: end.failure};
		}
	}
};

/** Runs a non-idempotent request under its claim and responds. A failure is recorded as the claim's outcome before it is reported to the caller. */
export const serveClaimedRequest = async (context: HostContext, exchange: Exchange, request: ClassifiedRequest, runRequest: () => Promise<ClaimedRequestEnd>): Promise<void> => {
	const result = await runClaimedRequest(context, request, async () => {
		try {
			return await runRequest();
		} catch (error) {
			return {kind: 'failed', failure: toRequestFailure(error)};
		}
	});
	sendClaimedResult(exchange, result);
};
