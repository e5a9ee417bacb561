import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {createFailure, getFailure} from '@gentianlift/errors';
import {getEndToEndHeaders} from '@gentianlift/upstream';
import type {ClassifiedRequest} from '@gentianlift/types';
import {runCall, type CallResult} from '../../dispatch/run-call.js';
import {runClaimed, type ClaimedEnd} from '../../dispatch/run-claimed.js';
import type {HostParts} from '../../parts.js';
import {
	admitRequest, authenticate, takeLimits, type Caller,
} from '../admission.js';
import {checkForcedStop} from '../forced-stop.js';
import {getAccountHeaders} from '../answer.js';
import {createCallerStream, type CallerStream} from '../caller-stream.js';
import type {Exchange} from '../exchange.js';
import {recordLatencies} from '../latencies.js';
import {readBody} from '../read-body.js';
import {sendClaimed} from '../stored-answer.js';

type Call = {
	caller: Caller;
	request: ClassifiedRequest;
	exchange: Exchange;
	stream: CallerStream;
	path: string;
	body: Uint8Array;
};

/** Headers of callers that are for the router alone. */
const ownHeaders = ['authorization', 'x-class', 'x-request-id', 'host', 'content-length', 'expect'];

const getServiceHeaders = (request: IncomingMessage, id: string, length: number): OutgoingHttpHeaders => {
	const headers = getEndToEndHeaders(request.headers);
	for (const name of ownHeaders) {
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- The names are a closed list.
		delete headers[name];
	}

	return {...headers, 'x-request-id': id, ...(length > 0 && {'content-length': String(length)})};
};

const runServiceCall = async (parts: HostParts, call: Call): Promise<CallResult> => {
	const {request, exchange, stream, path, body} = call;
	const latencies = recordLatencies(parts, request);
	const result = await runCall(parts, {
		request,
		method: exchange.request.method ?? 'GET',
		path,
		headers: getServiceHeaders(exchange.request, request.id, body.length),
		body,
		gone: AbortSignal.any([stream.gone, parts.open.cut.signal]),
		reader: {
			begin(status, headers) {
				latencies.mark();
				stream.begin(status, {...headers, ...getAccountHeaders(request.id, 'ran')});
			},
			write: stream.write,
			drained: stream.drained,
		},
	});
	latencies.end(result.kind === 'finished');
	return result;
};

const endCall = (parts: HostParts, {request, exchange, stream}: Call, result: CallResult): void => {
	switch (result.kind) {
		case 'finished': {
			parts.accounts.apply({kind: 'finished', request: request.id, status: result.status});
			stream.end();
			return;
		}

		case 'stopped': {
			checkForcedStop(parts, result.ran);
			parts.accounts.apply({kind: 'cancelled', request: request.id, ran: result.ran});
			parts.metrics.count('cancelled_total', {class: request.className});
			exchange.response.destroy();
			return;
		}

		case 'failed': {
			throw result.failure;
		}
	}
};

const getClaimedEnd = (result: CallResult): ClaimedEnd => {
	switch (result.kind) {
		case 'finished': {
			const {status, contentType, body, upstream} = result;
			return {
				kind: 'finished', upstream, status, ...(contentType !== undefined && {contentType}), ...(body !== undefined && {body}),
			};
		}

		case 'stopped': {
			return {kind: 'failed', failure: createFailure('outcome-unknown', {ran: result.ran})};
		}

		case 'failed': {
			return {kind: 'failed', failure: result.failure};
		}
	}
};

const serveCall = async (parts: HostParts, call: Call): Promise<void> => {
	const release = await takeLimits(parts, call.caller.customer, call.request);
	try {
		endCall(parts, call, await runServiceCall(parts, call));
	} finally {
		release(0);
	}
};

/** Runs a claimed call; a failure becomes the claim's outcome before the caller is told. */
const runClaimedCall = async (parts: HostParts, call: Call): Promise<ClaimedEnd> => {
	try {
		const release = await takeLimits(parts, call.caller.customer, call.request);
		const result = await runServiceCall(parts, call);
		release(0);
		if (result.kind !== 'failed') {
			endCall(parts, call, result);
		}

		return getClaimedEnd(result);
	} catch (error) {
		return {kind: 'failed', failure: getFailure(error)};
	}
};

const serveClaimedCall = async (parts: HostParts, call: Call): Promise<void> => {
	const result = await runClaimed(parts, call.request, async () => runClaimedCall(parts, call));
	sendClaimed(call.exchange, result);
};

const servicePath = /^\/v1\/services\/(?<service>[^\/?]+)(?<path>.*)$/v;

/** Passes a call under `/v1/services/<name>/` on to the service; throws the failure to report. */
export const handleService = async (parts: HostParts, exchange: Exchange): Promise<void> => {
	const caller = authenticate(parts, exchange.request);
	const {service = '', path: rest = ''} = servicePath.exec(exchange.request.url ?? '')?.groups ?? {};
	const method = exchange.request.method ?? 'GET';
	const path = rest.startsWith('/') ? rest : `/${rest}`;
	const body = await readBody(exchange.request, parts.settings.callerLimits, parts.clock);
	const request = admitRequest(parts, caller, exchange, {
		method,
		path,
		body,
		prompt: `${method} ${path}\n${Buffer.from(body).toString('latin1')}`,
		work: {
			kind: 'call', service: decodeURIComponent(service), method, path,
		},
	});
	const stream = createCallerStream(exchange.response, parts.clock, parts.settings.silenceLimits.caller);
	const call: Call = {
		caller, request, exchange, stream, path, body,
	};
	await (request.idempotent ? serveCall(parts, call) : serveClaimedCall(parts, call));
};
