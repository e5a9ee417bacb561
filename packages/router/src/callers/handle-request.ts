import type {IncomingMessage, ServerResponse} from 'node:http';
import {createFailure, getFailure, type RequestFailure} from '@gentianlift/errors';
import type {HostParts} from '../parts.js';
import {sendFailure} from './answer.js';
import {handleChat} from './commands/chat.js';
import {handleService} from './commands/service.js';
import type {Exchange} from './exchange.js';
import {handleHosts, handleModels, handleRequestQuery} from './queries/index.js';
import {checkHeaders} from './read-headers.js';

const route = async (parts: HostParts, exchange: Exchange): Promise<void> => {
	const {request} = exchange;
	checkHeaders(request);
	const path = (request.url ?? '/').split('?')[0] ?? '/';
	if (path.startsWith('/v1/services/')) {
		return handleService(parts, exchange);
	}

	if (request.method === 'POST' && path === '/v1/chat/completions') {
		return handleChat(parts, exchange);
	}

	if (request.method === 'GET' && path === '/v1/hosts') {
		handleHosts(parts, exchange);
		return;
	}

	if (request.method === 'GET' && path === '/v1/models') {
		handleModels(parts, exchange);
		return;
	}

	if (request.method === 'GET' && path.startsWith('/v1/requests/')) {
		return handleRequestQuery(parts, exchange);
	}

	throw createFailure('unknown-path');
};

const recordFailure = (parts: HostParts, {id, classified}: Exchange, failure: RequestFailure): void => {
	const {kind, ran, retryAfter} = failure;
	parts.metrics.count('refusals_total', {reason: kind, class: classified?.className ?? 'none'});
	parts.accounts.apply(ran === 'not-run'
		? {
			kind: 'refused', request: id, error: kind, ran, ...(retryAfter !== undefined && {retryAfter}),
		}
		: {
			kind: 'failed', request: id, error: kind, ran,
		});
	const level = kind === 'internal' ? 'error' : 'debug';
	parts.logger[level]('request-failed', {
		request: id, kind, ran, class: classified?.className, customer: classified?.customer, cause: failure.cause instanceof Error ? failure.cause.stack : undefined,
	});
};

/** Answers one request of a caller. Never throws. */
export const handleRequest = async (parts: HostParts, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const exchange: Exchange = {
		request, response, id: parts.createRequestId(), classified: undefined,
	};
	// A connection that fails is seen where the answer is written.
	response.on('error', () => undefined);
	if (parts.isDraining()) {
		response.setHeader('connection', 'close');
	}

	const close = parts.open.open();
	try {
		await route(parts, exchange);
	} catch (error) {
		const failure = getFailure(error);
		recordFailure(parts, exchange, failure);
		sendFailure(response, failure, exchange.id);
	} finally {
		close();
	}
};
