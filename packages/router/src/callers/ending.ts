import {createFailure, getFailure, type RequestFailure} from '@gentianlift/errors';
import type {ClassifiedRequest, RunState} from '@gentianlift/types';
import {runClaimed, type ClaimedEnd} from '../dispatch/run-claimed.js';
import type {HostParts} from '../parts.js';
import type {Exchange} from './exchange.js';
import {sendClaimed} from './stored-answer.js';

/** How a request ended that has no whole answer. */
export type Unfinished
	= | {kind: 'stopped'; ran: RunState}
		| {kind: 'failed'; failure: RequestFailure};

/** Ends an exchange that has no whole answer: its caller has gone, or it throws the failure to report. */
export const endUnfinished = (parts: HostParts, {response}: Exchange, request: ClassifiedRequest, end: Unfinished): void => {
	if (end.kind === 'failed') {
		throw end.failure;
	}

	if (parts.open.cut.signal.aborted) {
		throw createFailure('forced-stop', {ran: end.ran});
	}

	parts.accounts.apply({kind: 'cancelled', request: request.id, ran: end.ran});
	parts.metrics.count('cancelled_total', {class: request.className});
	response.destroy();
};

/** Gets what the claim of a request without a whole answer is settled with. */
export const getUnfinishedEnd = (end: Unfinished): ClaimedEnd => {
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
export const serveClaimed = async (parts: HostParts, exchange: Exchange, request: ClassifiedRequest, run: () => Promise<ClaimedEnd>): Promise<void> => {
	const result = await runClaimed(parts, request, async () => {
		try {
			return await run();
		} catch (error) {
			return {kind: 'failed', failure: getFailure(error)};
		}
	});
	sendClaimed(exchange, result);
};
