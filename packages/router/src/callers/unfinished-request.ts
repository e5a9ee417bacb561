import {createFailure, getFailure, type RequestFailure} from '@gentianlift/errors';
import type {ClassifiedRequest, RunState} from '@gentianlift/types';
import {runClaimedRequest, type ClaimedRequestEnd} from '../dispatch/run-claimed.js';
import type {HostContext} from '../host-context.js';
import type {Exchange} from './exchange.js';
import {sendClaimedResult} from './claimed-response.js';

/** How a request ended that has no whole answer. */
export type UnfinishedResult
	= | {kind: 'stopped'; ran: RunState}
		| {kind: 'failed'; failure: RequestFailure};

/** Ends an exchange that has no whole answer: its caller has gone, or it throws the failure to report. */
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

/** Gets what the claim of a request without a whole answer is settled with. */
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

/** Runs a non-idempotent request under its claim and answers; a failure becomes the claim's outcome before the caller is told. */
export const serveClaimedRequest = async (context: HostContext, exchange: Exchange, request: ClassifiedRequest, run: () => Promise<ClaimedRequestEnd>): Promise<void> => {
	const result = await runClaimedRequest(context, request, async () => {
		try {
			return await run();
		} catch (error) {
			return {kind: 'failed', failure: getFailure(error)};
		}
	});
	sendClaimedResult(exchange, result);
};
