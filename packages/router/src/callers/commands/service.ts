import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {createFailure} from '@gentianlift/errors';
import {getEndToEndHeaders} from '@gentianlift/upstream';
import type {ClassifiedRequest} from '@gentianlift/types';
import {runCall, type CallResult} from '../../dispatch/run-call.js';
import type {ClaimedEnd} from '../../dispatch/run-claimed.js';
import type {HostParts} from '../../parts.js';
import {
	admitRequest, authenticate, takeLimits, type Caller,
} from '../admission.js';
import {getAccountHeaders} from '../answer.js';
import {createCallerStream, type CallerStream} from '../caller-stream.js';
import {endUnfinished, getUnfinishedEnd, serveClaimed} from '../ending.js';
import type {Exchange} from '../exchange.js';
import {recordLatencies} from '../latencies.js';
import {readBody} from '../read-body.js';

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
		gone: stream.gone,
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
	if (result.kind !== 'finished') {
		endUnfinished(parts, exchange, request, result);
		return;
	}

	parts.accounts.apply({kind: 'finished', request: request.id, status: result.status});
	stream.end();
};

const getClaimedEnd = (result: CallResult): ClaimedEnd => {
	if (result.kind !== 'finished') {
		return getUnfinishedEnd(result);
	}

	const {status, contentType, body, upstream} = result;
	return {
		kind: 'finished', upstream, status, ...(contentType !== undefined && {contentType}), ...(body !== undefined && {body}),
	};
};

/** Makes a call within its customer's limits and answers. */
const serveCall = async (parts: HostParts, call: Call): Promise<CallResult> => {
	const release = await takeLimits(parts, call.caller.customer, call.request);
	try {
		const result = await runServiceCall(parts, call);
		endCall(parts, call, result);
		return result;
	} finally {
		release(0);
	}
};

const serveClaimedCall = async (parts: HostParts, call: Call): Promise<void> =>
	serveClaimed(parts, call.exchange, call.request, async () => getClaimedEnd(await serveCall(parts, call)));

const dotSegment = /(?:^|[\/\\])(?:\.|%2e){1,2}(?:$|[\/\\])/iv;
const encodedSlash = /%2f|%5c/iv;

/** Throws `bad-request` for a path that the service may read as another one than the rules match. */
const checkPath = (path: string): void => {
	const [place = ''] = path.split('?');
	if (dotSegment.test(place) || encodedSlash.test(place)) {
		throw createFailure('bad-request', {detail: 'The path has dot segments or encoded slashes.'});
	}
};

const servicePath = /^\/v1\/services\/(?<service>[^\/?]+)(?<path>.*)$/v;

/** Passes a call under `/v1/services/<name>/` on to the service; throws the failure to report. */
export const handleService = async (parts: HostParts, exchange: Exchange): Promise<void> => {
	const caller = authenticate(parts, exchange.request);
	const {service = '', path: rest = ''} = servicePath.exec(exchange.request.url ?? '')?.groups ?? {};
	const method = exchange.request.method ?? 'GET';
	const path = rest.startsWith('/') ? rest : `/${rest}`;
	checkPath(path);
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
	const stream = createCallerStream(exchange.response, {
		clock: parts.clock, silence: parts.settings.silenceLimits.caller, cut: parts.open.cut.signal,
	});
	const call: Call = {
		caller, request, exchange, stream, path, body,
	};
	await (request.idempotent ? serveCall(parts, call) : serveClaimedCall(parts, call));
};
