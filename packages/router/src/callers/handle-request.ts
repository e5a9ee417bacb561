import type {IncomingMessage, ServerResponse} from 'node:http';
import {createFailure, toRequestFailure, type RequestFailure} from '@gentianlift/errors';
import type {HostContext} from '../host-context.js';
import {sendFailure} from './send-response.js';
import {handleChat} from './commands/chat.js';
import {handleService} from './commands/service.js';
import type {Exchange} from './exchange.js';
import {handleHosts, handleModels, handleRequestQuery} from './queries/index.js';
import {readBody} from './read-body.js';
import {checkHeaders} from './read-headers.js';

const route = async (context: HostContext, exchange: Exchange): Promise<void> => {
	const {request} = exchange;
	checkHeaders(request);
	const path = (request.url ?? '/').split('?')[0] ?? '/';
	if (path.startsWith('/v1/services/')) {
		return handleService(context, exchange);
	}

	if (request.method === 'POST' && path === '/v1/chat/completions') {
		return handleChat(context, exchange);
	}

	if (request.method === 'GET' && path === '/v1/hosts') {
		handleHosts(context, exchange);
		return;
	}

	if (request.method === 'GET' && path === '/v1/models') {
		handleModels(context, exchange);
		return;
	}

	if (request.method === 'GET' && path.startsWith('/v1/requests/')) {
		return handleRequestQuery(context, exchange);
	}

	throw createFailure('unknown-path');
};

const recordFailure = (context: HostContext, {id, classified}: Exchange, failure: RequestFailure): void => {
	const {kind, ran, retryAfter} = failure;
	context.metrics.count('refusals_total', {reason: kind, class: classified?.className ?? 'none'});
	context.accounts.apply(ran === 'not-run'
		? {
			kind: 'refused', request: id, error: kind, ran, ...(retryAfter !== undefined && {retryAfter}),
		}
		: {
			kind: 'failed', request: id, error: kind, ran,
		});
	const level = kind === 'internal' ? 'error' : 'debug';
	context.logger[level]('request-failed', {
		request: id, kind, ran, class: classified?.className, customer: classified?.customer, cause: failure.cause instanceof Error ? failure.cause.stack : undefined,
	});
};

/** Refuses a request that has arrived on an open connection of a stopping host. Its body is read first, as bytes that are unread when the connection closes would reset it and lose the answer. */
const refuseAsStopping = async ({settings, clock}: HostContext, request: IncomingMessage): Promise<never> => {
	await readBody(request, settings.callerLimits, clock);
	throw createFailure('host-stopping');
};

/** Answers a request whose handler can't be waited for, as the process is about to end, unless it was answered. One that wasn't admitted has not run; of the others that isn't known here. */
const answerAtEnd = (context: HostContext, exchange: Exchange): void => {
	if (exchange.response.writableEnded) {
		return;
	}

	const failure = createFailure(exchange.classified === undefined ? 'host-stopping' : 'outcome-unknown');
	recordFailure(context, exchange, failure);
	context.logger.warn('answered-at-the-end', {request: exchange.id, kind: failure.kind, ran: failure.ran});
	sendFailure(exchange.response, failure, exchange.id);
};

/** Handles one request of a caller. Never throws. */
export const handleRequest = async (context: HostContext, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const exchange: Exchange = {
		request, response, id: context.createRequestId(), classified: undefined,
	};
	// Connection errors are handled where the response is written.
	response.on('error', () => undefined);
	// The request counts as open from the step in which it is accepted, so that the host can't end in between.
	const endRequest = context.inFlightRequests.begin(response, () => {
		answerAtEnd(context, exchange);
	});
	try {
		await (context.isStopping() ? refuseAsStopping(context, request) : route(context, exchange));
	} catch (error) {
		const failure = toRequestFailure(error);
		recordFailure(context, exchange, failure);
		sendFailure(response, failure, exchange.id);
	} finally {
		endRequest();
	}
};
