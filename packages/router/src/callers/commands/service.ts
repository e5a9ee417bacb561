import {Buffer} from 'node:buffer';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {createFailure} from '@gentianlift/errors';
import {getEndToEndHeaders} from '@gentianlift/upstream';
import type {ClassifiedRequest} from '@gentianlift/types';
import {runCall, type CallResult} from '../../dispatch/run-call.js';
import type {ClaimedRequestEnd} from '../../dispatch/run-claimed.js';
import type {HostContext} from '../../host-context.js';
import {
	admitRequest, authenticate, acquireLimits, type Caller,
} from '../admission.js';
import {getAccountHeaders} from '../send-response.js';
import {createCallerStream, type CallerStream} from '../caller-stream.js';
import {handleUnfinished, getUnfinishedClaimEnd, serveClaimedRequest} from '../unfinished-request.js';
import type {Exchange} from '../exchange.js';
import {createLatencyRecorder} from '../latency-recorder.js';
import {readBody} from '../read-body.js';

/** Classified call to a service. */
type Call = {
	caller: Caller;
	request: ClassifiedRequest;
	exchange: Exchange;
	stream: CallerStream;
	path: string;
	body: Uint8Array;
};

/** Request headers that are meant for the router and aren't forwarded. */
const routerHeaders = ['authorization', 'x-class', 'x-request-id', 'host', 'content-length', 'expect'];

const getServiceHeaders = (request: IncomingMessage, id: string, length: number): OutgoingHttpHeaders => {
	const headers = getEndToEndHeaders(request.headers);
	for (const name of routerHeaders) {
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- The names are a closed list.
		delete headers[name];
	}

	return {...headers, 'x-request-id': id, ...(length > 0 && {'content-length': String(length)})};
};

const runServiceCall = async (context: HostContext, call: Call): Promise<CallResult> => {
	const {request, exchange, stream, path, body} = call;
	const latencyRecorder = createLatencyRecorder(context, request);
	const result = await runCall(context, {
		request,
		method: exchange.request.method ?? 'GET',
		path,
		headers: getServiceHeaders(exchange.request, request.id, body.length),
		body,
		callerDisconnectedSignal: stream.callerDisconnectedSignal,
		receiver: {
			begin(status, headers) {
				latencyRecorder.recordOutput();
				stream.begin(status, {...headers, ...getAccountHeaders(request.id, 'ran')});
			},
			write: stream.write,
			waitUntilWritable: stream.waitUntilWritable,
		},
	});
	latencyRecorder.recordEnd(result.kind === 'finished');
	return result;
};

const sendResult = (context: HostContext, {request, exchange, stream}: Call, result: CallResult): void => {
	if (result.kind !== 'finished') {
		handleUnfinished(context, exchange, request, result);
		return;
	}

	context.accounts.apply({kind: 'finished', request: request.id, status: result.status});
	stream.end();
};

const getClaimedEnd = (result: CallResult): ClaimedRequestEnd => {
	if (result.kind !== 'finished') {
		return getUnfinishedClaimEnd(result);
	}

	const {status, contentType, body, upstream} = result;
	return {
		kind: 'finished', upstream, status, ...(contentType !== undefined && {contentType}), ...(body !== undefined && {body}),
	};
};

/** Runs a call within the customer's limits and responds. */
const serveCall = async (context: HostContext, call: Call): Promise<CallResult> => {
	const release = await acquireLimits(context, call.caller.customer, call.request);
	try {
		const result = await runServiceCall(context, call);
		sendResult(context, call, result);
		return result;
	} finally {
		release(0);
	}
};

const serveClaimedCall = async (context: HostContext, call: Call): Promise<void> =>
	serveClaimedRequest(context, call.exchange, call.request, async () => getClaimedEnd(await serveCall(context, call)));

const dotSegment = /(?:^|[\/\\])(?:\.|%2e){1,2}(?:$|[\/\\])/iv;
const encodedSlash = /%2f|%5c/iv;

/** Throws `bad-request` for a path that the service could normalise to another path than the one that the rules were matched against. */
const checkPath = (path: string): void => {
	const [pathname = ''] = path.split('?');
	if (dotSegment.test(pathname) || encodedSlash.test(pathname)) {
		throw createFailure('bad-request', {detail: 'The path has dot segments or encoded slashes.'});
	}
};

const servicePath = /^\/v1\/services\/(?<service>[^\/?]+)(?<path>.*)$/v;

/** Forwards a call under `/v1/services/<name>/` to the service; throws the failure to report. */
export const handleService = async (context: HostContext, exchange: Exchange): Promise<void> => {
	const caller = authenticate(context, exchange.request);
	const {service = '', path: remainder = ''} = servicePath.exec(exchange.request.url ?? '')?.groups ?? {};
	const method = exchange.request.method ?? 'GET';
	const path = remainder.startsWith('/') ? remainder : `/${remainder}`;
	checkPath(path);
	const body = await readBody(exchange.request, context.settings.callerLimits, context.clock);
	const request = admitRequest(context, caller, exchange, {
		method,
		path,
		body,
		prompt: `${method} ${path}\n${Buffer.from(body).toString('latin1')}`,
		work: {
			kind: 'call', service: decodeURIComponent(service), method, path,
		},
	});
	const stream = createCallerStream(exchange.response, {
		clock: context.clock, idleTimeout: context.settings.silenceLimits.caller, abortSignal: context.inFlightRequests.abortController.signal,
	});
	const call: Call = {
		caller, request, exchange, stream, path, body,
	};
	await (request.idempotent ? serveCall(context, call) : serveClaimedCall(context, call));
};
