import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {StreamOrigin} from '@gentianlift/routing';
import type {Entry} from '@gentianlift/types';
import {createCompressedView, type CompressedView} from './compressed-view.js';
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
	findStreamOrigin: (query: OriginQuery) => StreamOrigin | undefined;
	/** Returns whether this host reaches upstreams. */
	getReach: (query: ReachQuery) => Promise<Reach>;
	/** Answers a request whose path begins with `forwardedCallPath`: a caller's request that another host forwards. */
	answerForwardedCall: RequestListener;
};

type AnswerOptions = PeerServerOptions & {compressedView: CompressedView};

/** Begins the paths of callers' requests that another host forwards. */
export const forwardedCallPath = '/v1/calls/';
const noContent = 204;
/** A forwarded request has all headers of its caller. */
const maxHeaderBytes = 128 * 1024;

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

/** Sends this host's view, unless the other host knows it. */
const sendView = async (request: IncomingMessage, {searchParams}: URL, response: ServerResponse, {view, compressedView}: AnswerOptions): Promise<void> => {
	const isNewer = view.getRevision() > Number(searchParams.get('after') ?? 0);
	if (!isNewer || !acceptsCompression(request)) {
		sendJson(response, isNewer ? view.getSnapshot() : undefined);
		return;
	}

	const body = await compressedView.get();
	response.writeHead(200, {'content-type': 'application/json', 'content-encoding': 'gzip', 'content-length': body.length});
	response.end(body);
};

/** Returns the entry of this host's configuration if its version is newer than the one that another host asks by. */
const findNewerConfiguration = (parameters: URLSearchParams, view: PeerServerOptions['view']): Entry | undefined => {
	const known = decodeConfigurationQuery(parameters);
	const version = view.getRoutes()?.configuration.version;
	return known !== undefined && version !== undefined && version > known ? view.getConfigurationEntry() : undefined;
};

const answerQuery = async ({pathname, searchParams}: URL, {view, findStreamOrigin, getReach}: PeerServerOptions): Promise<unknown> => {
	switch (pathname) {
		case configurationPath: {
			return findNewerConfiguration(searchParams, view);
		}

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
	const compressedView = createCompressedView(options.view, options.clock);
	const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://host');
		if (url.pathname === viewPath) {
			await sendView(request, url, response, {...options, compressedView});
			return;
		}

		sendJson(response, await answerQuery(url, options));
	};

	return createServer({maxHeaderSize: maxHeaderBytes}, (request, response) => {
		if (request.url?.startsWith(forwardedCallPath) === true) {
			options.answerForwardedCall(request, response);
			return;
		}

		// A host that asks again elsewhere needs no answer.
		answer(request, response).catch(() => response.destroy());
	});
};
