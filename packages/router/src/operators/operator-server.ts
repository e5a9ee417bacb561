import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createFailure, toRequestFailure} from '@gentianlift/errors';
import {sendFailure, sendJson} from '../callers/send-response.js';
import type {OperatorCommands} from './commands/index.js';
import type {OperatorQueries} from './queries/index.js';

/** Queries and commands that the operators' listener serves. */
export type OperatorActions = {
	queries: OperatorQueries;
	commands: OperatorCommands;
};

/** Route of the operators' listener; `parameters` are the decoded capture groups of `path`. */
type Route = {
	method: 'GET' | 'POST';
	path: RegExp;
	run: (actions: OperatorActions, call: {parameters: string[]; body: unknown}) => unknown;
};

const maxBodyCharacters = 64 * 1024;

const routes: Route[] = [
	{method: 'GET', path: /^\/health$/v, run: ({queries}) => queries.getHealth()},
	{method: 'GET', path: /^\/operator\/status$/v, run: ({queries}) => queries.getStatus()},
	{method: 'GET', path: /^\/operator\/hosts$/v, run: ({queries}) => queries.getHosts()},
	{method: 'GET', path: /^\/operator\/upstreams$/v, run: ({queries}) => queries.getUpstreams()},
	{method: 'GET', path: /^\/operator\/requests\/([^\/]+)$/v, run: async ({queries}, {parameters}) => queries.readAccount(parameters[0] ?? '')},
	{method: 'POST', path: /^\/operator\/drain$/v, run: ({commands}, {body}) => commands.drain(body)},
	{method: 'POST', path: /^\/operator\/undrain$/v, run: ({commands}) => commands.undrain()},
	{method: 'POST', path: /^\/operator\/upstreams\/([^\/]+)\/(drain|undrain)$/v, run: ({commands}, {parameters}) => commands.setUpstreamDrain(parameters[0] ?? '', parameters[1] === 'drain')},
	{method: 'POST', path: /^\/operator\/log-level$/v, run: ({commands}, {body}) => commands.setLogLevel(body)},
];

const readJson = async (request: IncomingMessage): Promise<unknown> => {
	let text = '';
	for await (const part of request) {
		text += String(part);
		if (text.length > maxBodyCharacters) {
			throw createFailure('body-too-large');
		}
	}

	if (text === '') {
		return {};
	}

	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw createFailure('bad-json', {detail: error instanceof Error ? error.message : ''});
	}
};

const sendReadiness = (actions: OperatorActions, response: ServerResponse): void => {
	const readiness = actions.queries.getReadiness();
	sendJson(response, readiness.ready ? 200 : 503, readiness);
};

const sendMetrics = (actions: OperatorActions, response: ServerResponse): void => {
	response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
	response.end(actions.queries.getMetrics());
};

const handleRequest = async (actions: OperatorActions, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const path = new URL(request.url ?? '/', 'http://operators').pathname;
	if (request.method === 'GET' && path === '/ready') {
		sendReadiness(actions, response);
		return;
	}

	if (request.method === 'GET' && path === '/metrics') {
		sendMetrics(actions, response);
		return;
	}

	for (const route of routes) {
		const pathMatch = route.path.exec(path);
		if (pathMatch !== null && route.method === request.method) {
			const parameters = pathMatch.slice(1).map(part => decodeURIComponent(part));
			// eslint-disable-next-line no-await-in-loop -- At most one route matches.
			const body = await readJson(request);
			// eslint-disable-next-line no-await-in-loop -- At most one route matches.
			sendJson(response, 200, await route.run(actions, {parameters, body}));
			return;
		}
	}

	throw createFailure('unknown-path');
};

/** Creates the HTTP server for operators. It isn't listening yet. */
export const createOperatorServer = (actions: OperatorActions): Server => createServer((request, response) => {
	handleRequest(actions, request, response).catch((error: unknown) => {
		sendFailure(response, toRequestFailure(error), '');
	});
});
