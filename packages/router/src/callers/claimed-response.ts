import {Buffer} from 'node:buffer';
import type {Claim, ClaimOutcome} from '@gentianlift/types';
import type {ClaimedRequestResult} from '../dispatch/run-claimed.js';
import {getAccountHeaders, sendJson} from './send-response.js';
import type {Exchange} from './exchange.js';

/*
Responds to a repeated non-idempotent request with the stored outcome of the first one.

If the body was too large to store, or was removed because of its age, the response body holds the status and id of the first request instead.
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

/** Sends the result of a non-idempotent request, unless it ran now and its response has already been sent. Throws the failure to report. */
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
