import {Buffer} from 'node:buffer';
import type {Claim, ClaimOutcome} from '@gentianlift/types';
import type {ClaimedRequestResult} from '../dispatch/run-claimed.js';
import {getAccountHeaders, sendJson} from './send-response.js';
import type {Exchange} from './exchange.js';

/*
Answers a resend with the stored outcome of the booking.

Where the body was too large to keep, or has been dropped with age, the caller gets the status of the booking in an account instead.
*/
const sendStoredResponse = ({response, id}: Exchange, claim: Claim, outcome: Extract<ClaimOutcome, {kind: 'finished'}>): void => {
	const headers = {...getAccountHeaders(id, 'ran'), 'x-original-request-id': claim.request, 'x-replayed': 'true'};
	if (outcome.body === undefined) {
		sendJson(response, outcome.status, {replayed: true, request_id: claim.request, status: outcome.status}, headers);
		return;
	}

	response.writeHead(outcome.status, {
		...headers,
		'content-type': outcome.contentType ?? 'application/octet-stream',
		'content-length': String(Buffer.byteLength(outcome.body)),
	});
	response.end(outcome.body);
};

/** Ends the answer of a non-idempotent request: one that ran now has been relayed already. Throws the failure to report. */
export const sendClaimedResult = (exchange: Exchange, result: ClaimedRequestResult): void => {
	switch (result.kind) {
		case 'relayed': {
			return;
		}

		case 'stored': {
			sendStoredResponse(exchange, result.claim, result.outcome);
			return;
		}

		case 'failed': {
			throw result.failure;
		}
	}
};
