import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	type createHostStarter, type StubUpstream, type TestDeployment, upstreamMark,
} from '../test-deployment.js';
import {sendRequest, type TestAnswer} from '../testing.js';

/** Stub engines of which each crashes for good as it begins to write an answer to a prompt with one of the parts. */
export type CrashingEngines = TestDeployment & {
	/** Number of engines that have crashed. */
	countCrashes: () => number;
};

/** Number of engines, what they crash on, and how, in turn. */
export type CrashingEnginesOptions = {engines: number; crashingParts: ReadonlySet<string>; modes?: readonly CrashMode[]};

/** What an engine writes before it crashes. */
export type CrashMode = 'before-answer' | 'after-first-event' | 'after-unframed-event';

/** Time from the arrival of a request to the first event of its answer, and to its end, in milliseconds. */
const timing = {first: 10, end: 30} as const;

const writeFirstEvent = (response: ServerResponse): void => {
	response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream'});
	response.write('id: 1\ndata: 1\n\n');
};

const writeStream = (response: ServerResponse): void => {
	writeFirstEvent(response);
	setTimeout(() => {
		response.end('id: 2\ndata: 2\n\n');
	}, timing.end - timing.first);
};

/** Stops listening, and resets the connections of a request's server. */
const crash = ({socket}: IncomingMessage): void => {
	const {server} = socket as typeof socket & {server: Server};
	server.close();
	socket.resetAndDestroy();
	server.closeAllConnections();
};

const crashWhile = (mode: CrashMode, request: IncomingMessage, response: ServerResponse): void => {
	switch (mode) {
		case 'before-answer': {
			crash(request);
			break;
		}

		case 'after-first-event': {
			writeFirstEvent(response);
			setTimeout(() => {
				crash(request);
			}, timing.first);
			break;
		}

		case 'after-unframed-event': {
			response.useChunkedEncodingByDefault = false;
			writeFirstEvent(response);
			(request.socket as typeof request.socket & {server: Server}).server.close();
			request.socket.end();
			break;
		}
	}
};

/** Starts a host with engines that crash on some parts. */
export const startCrashingEngines = async (start: ReturnType<typeof createHostStarter>, {engines, crashingParts, modes = ['before-answer']}: CrashingEnginesOptions): Promise<CrashingEngines> => {
	let crashes = 0;
	const stub: StubUpstream = (request, response) => {
		const parts = String(request.headers.parts ?? '').split(',');
		setTimeout(() => {
			if (!parts.some(part => crashingParts.has(part))) {
				writeStream(response);
				return;
			}

			crashes += 1;
			crashWhile(modes[(crashes - 1) % modes.length] ?? 'before-answer', request, response);
		}, timing.first);
	};

	const deployment = await start(...Array.from({length: engines}, () => stub));
	return {...deployment, countCrashes: () => crashes};
};

/** Sends a request for a stream whose prompt has the parts. */
export const requestParts = async ({host}: Pick<TestDeployment, 'host'>, attempt: string, parts: readonly string[], path = '/once/1'): Promise<TestAnswer> =>
	sendRequest(host.port, {path, headers: {attempt, parts: parts.join(','), 'prompt-tokens': '100'}, body: attempt});
