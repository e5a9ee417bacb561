import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {
	eventsPerStream, getBody, getEvent, getVersionedEvent,
} from './answers.js';
import type {FakeUpstreamOptions, FakeUpstream} from './deployment.js';
import {cutHead, refuseResume} from './odd-answers.js';
import type {UpstreamFailureMode} from './schedule.js';
import {getModeHeaders, type UpstreamProtocol} from './upstream-protocol.js';

/** Maximum number of requests executed at a time. */
const slots = 32;
/** Time from the start of a request's execution to its answer. */
const serviceTime: Milliseconds = 15;
/** Factor on the service time in failure mode `slow`. */
const slowFactor = 20;
const eventInterval: Milliseconds = 15;
/** Idle time after which a connection is reset at its next request in failure mode `idle-resets`. */
const idleTimeout: Milliseconds = 300;
/** Time after which the entry of a crashed upstream expires. */
const entryTimeToLive: Milliseconds = 2000;
/** Time for which an upstream still serves after it has announced that it leaves. */
const drainTime: Milliseconds = 3500;
/** Start time in the entry of an upstream's first incarnation; later incarnations count up from it. */
const firstStartTime = 1_000_000;

/** Prefix of the ids of parts that crash upstreams. */
export const crashingPartPrefix = 'bad';
/** Time after which an upstream that a part has crashed is back. */
const partCrashTime: Milliseconds = 2500;
/** Whether a request is one of the half whose streams are broken off. */
const isEvenAttempt = (attempt: string): boolean => (attempt.codePointAt(attempt.length - 1) ?? 0) % 2 === 0;

/** Listens on an address, on a free port for port 0; resolves with the port. */
export const listen = async (server: Server, ip: string, port: number): Promise<number> => {
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return (server.address() as AddressInfo).port;
};

/** Starts a fake upstream and writes its entry into the key-value service. */
export const startUpstream = async ({
	service, name, ip, store, onExecute, onPartCrash, onLimitedArrival, onBoundArrival, onListening, openLink,
}: FakeUpstreamOptions, protocol: UpstreamProtocol): Promise<FakeUpstream> => {
	const idleSince = new WeakMap<Socket, Milliseconds>();
	let failureMode: UpstreamFailureMode | undefined;
	let incarnation = 0;
	/** Number of failure modes so far. */
	let modeCount = 0;
	let inFlight = 0;
	let id = name;
	let isDown = false;
	const timers = new Set<NodeJS.Timeout>();
	const runAfter = (delay: Milliseconds, action: () => void): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			action();
		}, delay);
		timers.add(timer);
	};

	const reject = (response: ServerResponse, status: number): void => {
		response.writeHead(status, {...protocol.notExecutedHeaders, ...getModeHeaders(failureMode, protocol), 'content-length': 0});
		response.end();
	};

	/** Neighbours have different software versions, and each restart brings another one. */
	const getSoftwareVersion = (): string => `v${((Number(name.at(-1)) + incarnation) % 2) + 1}`;

	/** Whether a host goes on with a stream that broke off, rather than its caller, who names its requests differently. */
	const isContinuation = (request: IncomingMessage, attempt: string): boolean => protocol.getResumeAfter(request) > 0 && !attempt.includes('.');

	const writeStream = async (request: IncomingMessage, attempt: string, response: ServerResponse): Promise<void> => {
		if (failureMode === 'refusing-resumes' && isContinuation(request, attempt)) {
			refuseResume(attempt, response);
			return;
		}

		const softwareVersion = getSoftwareVersion();
		const buildEvent = (number: number): string => protocol.isResumable(request) ? getVersionedEvent(softwareVersion, number) : getEvent(attempt, number);
		response.setHeader('content-type', 'text/event-stream');
		const isBrokenOff = failureMode === 'unframed' && isEvenAttempt(attempt);
		for (let number = protocol.getResumeAfter(request) + 1; number <= eventsPerStream && !response.destroyed; number++) {
			if (isBrokenOff && number > eventsPerStream / 2) {
				response.end(buildEvent(number).trimEnd());
				return;
			}

			response.write(buildEvent(number));
			if (failureMode === 'truncating' && number === eventsPerStream / 2) {
				response.destroy();
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- Events are sent at intervals.
			await sleep(eventInterval);
		}

		response.end();
	};

	const writeBody = (attempt: string, response: ServerResponse): void => {
		const body = getBody(attempt);
		if (failureMode !== 'unframed') {
			response.setHeader('content-length', body.length);
		}

		if (failureMode === 'truncating') {
			response.write(body.slice(0, body.length / 2));
			runAfter(1, () => {
				response.destroy();
			});
			return;
		}

		response.end(body);
		if (failureMode === 'extra-bytes') {
			response.socket?.write(protocol.unsolicitedAnswer);
		}
	};

	const execute = async (request: IncomingMessage, response: ServerResponse, attempt: string): Promise<void> => {
		onExecute({
			attempt, service, upstream: id, at: 0,
		});
		await sleep(failureMode === 'slow' ? serviceTime * slowFactor : serviceTime);
		const crashingPart = protocol.getParts(request).find(part => part.startsWith(crashingPartPrefix));
		if (crashingPart !== undefined && !isDown) {
			onPartCrash(crashingPart);
			crashAndReturn();
			return;
		}

		if (failureMode === 'mute' || response.destroyed) {
			return;
		}

		if (failureMode === 'cutting-heads') {
			cutHead(attempt, protocol.getAnswerHeaders(id, attempt), response);
			return;
		}

		response.statusCode = failureMode === 'failing' ? 500 : 200;
		response.setHeaders(new Map(Object.entries({...protocol.getAnswerHeaders(id, attempt), ...getModeHeaders(failureMode, protocol)})));
		response.useChunkedEncodingByDefault = failureMode !== 'unframed';
		if (protocol.isStream(request) && response.statusCode === 200) {
			await writeStream(request, attempt, response);
		} else {
			writeBody(attempt, response);
		}
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const idleTime = performance.now() - (idleSince.get(request.socket) ?? performance.now());
		if (failureMode === 'idle-resets' && idleTime > idleTimeout) {
			request.socket.resetAndDestroy();
			return;
		}

		request.resume();
		if (protocol.getExpectedId(request) !== id) {
			reject(response, 421);
			return;
		}

		if (failureMode === 'limited') {
			onLimitedArrival(`${id}/${modeCount}`);
		}

		if (failureMode === 'resting' || failureMode === 'announcing') {
			onBoundArrival({kind: failureMode, episode: `${id}/${modeCount}`, attempt: protocol.getAttempt(request)});
		}

		if (inFlight >= slots || failureMode === 'full' || failureMode === 'resting') {
			reject(response, 503);
			return;
		}

		inFlight += 1;
		await execute(request, response, protocol.getAttempt(request));
		inFlight -= 1;
		idleSince.set(request.socket, performance.now());
	};

	const server = createServer((request, response) => {
		void handleRequest(request, response);
	});
	const port = await listen(server, ip, 0);
	const address = await openLink(`${ip}:${port}`);
	const getKey = (): string => protocol.getKey(id);
	const publishEntry = (isLeaving: boolean): void => {
		store.put(getKey(), protocol.encodeEntry({
			service, address, id, slots, isLeaving, startedAt: firstStartTime + incarnation, softwareVersion: getSoftwareVersion(),
		}));
	};

	/** Stops listening and closes all connections, as the exit of an upstream's process would. */
	const closeServer = (): void => {
		isDown = true;
		onListening(false);
		server.close();
		server.closeAllConnections();
	};

	const restart = async (nextId: string): Promise<void> => {
		store.remove(getKey());
		incarnation += 1;
		id = nextId;
		inFlight = 0;
		await listen(server, ip, port);
		onListening(true);
		isDown = false;
		publishEntry(false);
	};

	/** Crashes, and starts again under another id unless a failure mode has done so. */
	const crashAndReturn = (): void => {
		const failedId = id;
		closeServer();
		runAfter(partCrashTime, () => {
			if (isDown && id === failedId) {
				void restart(`${name}-${incarnation + 1}`);
			}
		});
	};

	const beginFailure = (next: UpstreamFailureMode): void => {
		const failedKey = getKey();
		if (next === 'crash' || next === 'return-as-other') {
			closeServer();
			runAfter(entryTimeToLive, () => {
				if (isDown && getKey() === failedKey) {
					store.remove(failedKey);
				}
			});
		} else if (next === 'leave') {
			publishEntry(true);
			runAfter(drainTime, () => {
				if (failureMode === 'leave' && getKey() === failedKey) {
					store.remove(failedKey);
					closeServer();
				}
			});
		}
	};

	const endFailure = (): void => {
		if (isDown) {
			void restart(failureMode === 'crash' ? id : `${name}-${incarnation + 1}`);
		} else if (failureMode === 'leave') {
			publishEntry(false);
		} else if (failureMode === 'announcing') {
			closeServer();
			void restart(`${name}-${incarnation + 1}`);
		}
	};

	publishEntry(false);
	return {
		setFailureMode(next) {
			if (failureMode !== undefined) {
				endFailure();
			}

			failureMode = next;
			modeCount += 1;
			if (next !== undefined) {
				beginFailure(next);
			}
		},
		close() {
			for (const timer of timers) {
				clearTimeout(timer);
			}

			closeServer();
		},
	};
};
