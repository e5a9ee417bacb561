import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Upstream} from '@gentianlift/routing';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import {startTestHost, startUpstream, type TestHost} from './testing.js';

/** Configuration with one route of each kind, one for requests that take long and one of a lower rank to one service, one whose requests may run on three upstreams, and one whose streams go to that or to another, which has no upstreams. */
export const configuration = buildConfiguration({
	routes: [
		buildRoute({name: 'read', pathPrefix: '/read/', timeout: 1500}),
		buildRoute({
			name: 'book', pathPrefix: '/book/', kind: 'non-idempotent', maxUpstreams: 1, timeout: 1500,
		}),
		buildRoute({
			name: 'slow-book', pathPrefix: '/slow-book/', kind: 'non-idempotent', maxUpstreams: 1, timeout: 20_000,
		}),
		buildRoute({
			name: 'stream', pathPrefix: '/stream/', kind: 'streaming', isResumable: true, timeout: 5000,
		}),
		buildRoute({
			name: 'thrice', pathPrefix: '/thrice/', kind: 'streaming', isResumable: true, timeout: 5000, maxUpstreams: 3,
		}),
		buildRoute({
			name: 'once', pathPrefix: '/once/', kind: 'streaming', timeout: 1500,
		}),
		buildRoute({
			name: 'split', pathPrefix: '/split/', kind: 'streaming', isResumable: true, timeout: 5000, destinations: [{service: 's', weight: 1}, {service: 'without-upstreams', weight: 1}],
		}),
		buildRoute({
			name: 'background', pathPrefix: '/background/', kind: 'streaming', rank: 2, timeout: 20_000,
		}),
	],
});

/** Request handler of a stub upstream. */
export type AnswerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Header that marks the answer of an upstream. */
export const upstreamMark = {signed: '1'};
/** Answers with status 200 and the caller's id of the request. */
export const answerOk: AnswerHandler = (request, response) => {
	response.writeHead(200, {...upstreamMark, attempt: request.headers.attempt ?? ''});
	response.end('ok');
};

/** Answers that the request was not executed. */
export const rejectUnexecuted: AnswerHandler = (_, response) => {
	response.writeHead(503, {'not-run': '1'});
	response.end();
};

/** Resets the connection. */
export const resetConnection: AnswerHandler = request => {
	request.socket.resetAndDestroy();
};

/** A stub upstream: its handler, and its software version if it has one. */
export type StubUpstream = AnswerHandler | {answer: AnswerHandler; softwareVersion: string};

/** A host with its stub upstreams. */
export type TestDeployment = {
	host: TestHost;
	/** Numbers of requests that the upstreams have received. */
	counts: number[];
	upstreams: Upstream[];
};

const startStubUpstream = async (id: string, stub: StubUpstream, onRequest: () => void): ReturnType<typeof startUpstream> => {
	const answer = typeof stub === 'function' ? stub : stub.answer;
	const {upstream, server} = await startUpstream(id, (request, response) => {
		onRequest();
		answer(request, response);
	});
	return {server, upstream: typeof stub === 'function' ? upstream : {...upstream, softwareVersion: stub.softwareVersion}};
};

/** Creates a function that starts a host with stub upstreams, by the configuration above if no other is given. */
export const createHostStarter = (onFinished: (close: () => void) => void, hostConfiguration = configuration) => async (...stubs: StubUpstream[]): Promise<TestDeployment> => {
	const host = await startTestHost(hostConfiguration);
	const counts = stubs.map(() => 0);
	const started = await Promise.all(stubs.map(async (stub, index) => startStubUpstream(`u${index}`, stub, () => {
		counts[index] = (counts[index] ?? 0) + 1;
	})));
	const upstreams = started.map(({upstream}) => upstream);
	host.setUpstreams(upstreams);
	onFinished(() => {
		host.close();
		for (const {server} of started) {
			server.close();
			server.closeAllConnections();
		}
	});
	return {host, counts, upstreams};
};

/** Adds up counts. */
export const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);
