import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {StreamOrigin} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {createCompressedAnswers, type CompressedAnswers} from './compressed-answers.js';
import {configurationPath, decodeConfigurationQuery} from './configuration-calls.js';
import type {FleetView} from './fleet-view.js';
import {viewPath} from './peer-views.js';
import {
	decodeReachQuery, reachPath, type Reach, type ReachQuery,
} from './reach-calls.js';
import {decodeOriginQuery, streamOriginPath, type OriginQuery} from './stream-origin-calls.js';

/** What other hosts may ask for. */
export type PeerServerOptions = {
	view: FleetView;
	clock: Clock;
	/** Returns the origin of a stream if this host knows it. */
	findStreamOrigin: (query: OriginQuery) => Promise<StreamOrigin | undefined>;
	/** Returns whether this host reaches upstreams. */
	getReach: (query: ReachQuery) => Promise<Reach>;
	/** Answers a request whose path begins with `forwardedCallPath`: a caller's request that another host forwards. */
	answerForwardedCall: RequestListener;
};

type AnswerOptions = PeerServerOptions & {answers: CompressedAnswers};

/** Begins the paths of callers' requests that another host forwards. */
export const forwardedCallPath = '/v1/calls/';
const noContent = 204;
/** A forwarded request has all headers of its caller. */
const maxHeaderBytes = 128 * 1024;
/** Longest times for a head and for a whole request to arrive, and the interval at which connections are checked for them. */
const headersTimeout: Milliseconds = 10_000;
const requestTimeout: Milliseconds = 30_000;
const checkInterval: Milliseconds = 2000;

const sendJson = (response: ServerResponse, body: unknown): void => {
	if (body === undefined) {
		response.writeHead(noContent);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};

/** Whether a host accepts compressed answers; one of an older version doesn't. */
const acceptsCompression = ({headers}: IncomingMessage): boolean => headers['accept-encoding']?.includes('gzip') ?? false;

/** Sends an answer that may be large, compressed if the other host accepts that. */
const sendLarge = async (request: IncomingMessage, response: ServerResponse, {question, build, answers}: {question: string; build: () => unknown; answers: CompressedAnswers}): Promise<void> => {
	if (!acceptsCompression(request)) {
		sendJson(response, build());
		return;
	}

	const body = await answers.get(question, build);
	response.writeHead(200, {'content-type': 'application/json', 'content-encoding': 'gzip', 'content-length': body.length});
	response.end(body);
};

const getVersion = (view: FleetView): number | undefined => view.getRoutes()?.configuration.version;

/** Sends this host's view, unless the other host knows it. */
const sendView = async (request: IncomingMessage, {searchParams}: URL, response: ServerResponse, {view, answers}: AnswerOptions): Promise<void> => {
	const revision = view.getRevision();
	if (revision > Number(searchParams.get('after') ?? 0)) {
		await sendLarge(request, response, {question: `view ${revision} ${getVersion(view)}`, build: view.getSnapshot, answers});
	} else {
		sendJson(response, undefined);
	}
};

/** Sends the entry of this host's configuration, unless the other host knows it. */
const sendConfiguration = async (request: IncomingMessage, {searchParams}: URL, response: ServerResponse, {view, answers}: AnswerOptions): Promise<void> => {
	const known = decodeConfigurationQuery(searchParams);
	const version = getVersion(view);
	if (known !== undefined && version !== undefined && version > known) {
		await sendLarge(request, response, {question: `configuration ${version}`, build: view.getConfigurationEntry, answers});
	} else {
		sendJson(response, undefined);
	}
};

const answerQuery = async ({pathname, searchParams}: URL, {findStreamOrigin, getReach}: PeerServerOptions): Promise<unknown> => {
	switch (pathname) {
		case streamOriginPath: {
			return findStreamOrigin(decodeOriginQuery(searchParams));
		}

		case reachPath: {
			return getReach(decodeReachQuery(searchParams));
		}

		default: {
			return undefined;
		}
	}
};

/** Creates the server for other hosts: it answers with this host's view if that is newer than theirs, with the origins of streams and with what it reaches, and takes calls that they forward. */
export const createPeerServer = (options: PeerServerOptions): Server => {
	const answerOptions = {...options, answers: createCompressedAnswers(options.clock)};
	const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://host');
		switch (url.pathname) {
			case viewPath: {
				await sendView(request, url, response, answerOptions);
				break;
			}

			case configurationPath: {
				await sendConfiguration(request, url, response, answerOptions);
				break;
			}

			default: {
				sendJson(response, await answerQuery(url, options));
			}
		}
	};

	return createServer({
		maxHeaderSize: maxHeaderBytes, headersTimeout, requestTimeout, connectionsCheckingInterval: checkInterval,
	}, (request, response) => {
		if (request.url?.startsWith(forwardedCallPath) === true) {
			options.answerForwardedCall(request, response);
			return;
		}

		// A host that asks again elsewhere needs no answer.
		answer(request, response).catch(() => response.destroy());
	});
};
