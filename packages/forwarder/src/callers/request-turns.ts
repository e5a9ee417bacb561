import type {Socket} from 'node:net';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {ReceivedRequest} from './received-request.js';
import {estimateWaitingBytes} from './waiting-bytes.js';

/** Order in which the requests of each connection are handled: one at a time. HTTP/1.1 returns answers in the order of the requests, so that a caller gains nothing from handling a pipelined request earlier. */
export type RequestTurns = {
	/** Handles a request as soon as those before it on its connection are answered, unless that closes the connection. */
	add: (received: ReceivedRequest) => void;
	/** Returns the number of requests that wait for their turn, on all connections. */
	countWaiting: () => number;
	/** Returns the requests that wait for their turn, none of which is handled then. */
	takeWaiting: () => ReceivedRequest[];
};

/** Dependencies of `createRequestTurns`. */
export type RequestTurnsOptions = {
	logger: Logger;
	metrics: Metrics;
	/** Most memory, in bytes, that the waiting requests of all connections may take. */
	maxWaitingBytes: number;
	/** Handles a request, and never rejects; its turn ends when its response closes. */
	handle: (received: ReceivedRequest) => Promise<void>;
};

/** A request that waits, with the memory, in bytes, that it is estimated to take. */
type WaitingRequest = {received: ReceivedRequest; bytes: number};

/** Requests of a connection. */
type Pipeline = {
	socket: Socket;
	/** Those that wait, in order of arrival. */
	waiting: WaitingRequest[];
	/** Memory, in bytes, that those are estimated to take. */
	waitingBytes: number;
	/** Whether a request of the connection is being handled. */
	isBusy: boolean;
	/** Whether reading is paused because enough requests wait. */
	isPaused: boolean;
	/** Whether it has been paused before; only the first time is logged. */
	wasPaused: boolean;
};

/** Waiting requests of a connection above which nothing more is read from it. While a connection isn't read, a close by its caller goes unnoticed. */
const maxReadAhead = 16;
/** Memory, in bytes, of waiting requests of a connection above which nothing more is read from it, either. */
const maxReadAheadBytes = 128 * 1024;

/** Limit on waiting requests of all connections, however small they are; the connection whose requests take most memory is closed above it. One read of 64 KB may deliver more than a thousand. */
const maxWaitingRequests = 10_000;
/** Requests that have waited of which the handling begins in one turn of the event loop, so that the requests of other connections are read between them. */
const startsPerLoop = 4;

/** Creates it without requests. */
export const createRequestTurns = ({
	logger, metrics, maxWaitingBytes, handle,
}: RequestTurnsOptions): RequestTurns => {
	const pipelines = new Map<Socket, Pipeline>();
	/** Connections on which the next request may be handled, in the order in which they became free. */
	const free: Pipeline[] = [];
	let isScheduled = false;
	let waitingRequests = 0;
	let waitingBytes = 0;

	/** Counts requests that begin to wait, or, with negative numbers, that no longer do. */
	const count = (pipeline: Pipeline, requests: number, bytes: number): void => {
		waitingRequests += requests;
		waitingBytes += bytes;
		pipeline.waitingBytes += bytes;
	};

	/** Whether requests of a connection can be answered; those that wait when it ends take their memory until it is closed. */
	const isOpen = ({socket}: Pipeline): boolean => socket.writable;

	const hasEnough = ({waiting, waitingBytes}: Pipeline): boolean => waiting.length > maxReadAhead || waitingBytes > maxReadAheadBytes;

	const isExceeded = (): boolean => waitingRequests > maxWaitingRequests || waitingBytes > maxWaitingBytes;

	/** Pauses a connection of which enough requests wait. Node's server resumes it at each end of a message. */
	const limitReading = (pipeline: Pipeline): void => {
		const {socket, waiting} = pipeline;
		if (!isOpen(pipeline) || !hasEnough(pipeline)) {
			return;
		}

		pipeline.isPaused = true;
		socket.pause();
		if (!pipeline.wasPaused) {
			pipeline.wasPaused = true;
			logger.info('connection-paused', {waiting: waiting.length, bytes: pipeline.waitingBytes});
		}
	};

	const resumeReading = (pipeline: Pipeline): void => {
		if (pipeline.isPaused && !hasEnough(pipeline)) {
			pipeline.isPaused = false;
			pipeline.socket.resume();
		}
	};

	const takeAll = (pipeline: Pipeline): ReceivedRequest[] => {
		count(pipeline, -pipeline.waiting.length, -pipeline.waitingBytes);
		return pipeline.waiting.splice(0).map(({received}) => received);
	};

	/** Returns the connection whose waiting requests take most memory. */
	const findLargest = (): Pipeline | undefined => {
		let largest: Pipeline | undefined;
		for (const pipeline of pipelines.values()) {
			largest = pipeline.waitingBytes > (largest?.waitingBytes ?? 0) ? pipeline : largest;
		}

		return largest;
	};

	/** Closes a connection, none of whose waiting requests has run. */
	const close = (pipeline: Pipeline): void => {
		metrics.count('connections_given_up_total', {reason: 'read-ahead'});
		logger.warn('pipeline-closed', {
			waiting: pipeline.waiting.length, bytes: pipeline.waitingBytes, all: waitingRequests, allBytes: waitingBytes,
		});
		for (const {request} of takeAll(pipeline)) {
			// Node creates an error with a stack for each request that isn't destroyed when its connection is.
			request.destroy();
		}

		pipeline.socket.destroy();
	};

	const closeBeyondLimit = (): void => {
		while (isExceeded()) {
			const largest = findLargest();
			if (largest === undefined) {
				return;
			}

			close(largest);
		}
	};

	const getOpen = (): Pipeline[] => [...pipelines.values()].filter(pipeline => isOpen(pipeline));

	const addPipeline = (socket: Socket): Pipeline => {
		const pipeline: Pipeline = {
			socket, waiting: [], waitingBytes: 0, isBusy: false, isPaused: false, wasPaused: false,
		};
		pipelines.set(socket, pipeline);
		socket.on('resume', () => {
			limitReading(pipeline);
		});
		socket.once('close', () => {
			pipelines.delete(socket);
			const {length} = takeAll(pipeline);
			if (length > 0) {
				logger.info('waiting-requests-dropped', {requests: length});
			}
		});
		return pipeline;
	};

	const start = (pipeline: Pipeline, received: ReceivedRequest): void => {
		pipeline.isBusy = true;
		received.response.once('close', () => {
			release(pipeline);
		});
		// One of which only a part has arrived may have been answered while it waited.
		if (!received.response.writableEnded) {
			void handle(received);
		}
	};

	const startNext = (pipeline: Pipeline): void => {
		if (!isOpen(pipeline)) {
			// The last answer has announced the close of the connection, and no other can be written.
			return;
		}

		const next = pipeline.waiting.shift();
		if (next === undefined) {
			resumeReading(pipeline);
			pipeline.isBusy = false;
			return;
		}

		count(pipeline, -1, -next.bytes);
		resumeReading(pipeline);
		start(pipeline, next.received);
	};

	const startSome = (): void => {
		isScheduled = false;
		for (const pipeline of free.splice(0, startsPerLoop)) {
			startNext(pipeline);
		}

		schedule();
	};

	const schedule = (): void => {
		if (!isScheduled && free.length > 0) {
			isScheduled = true;
			setImmediate(startSome);
		}
	};

	/** Ends the turn of a request: the next one of its connection is handled in a later turn of the event loop. */
	const release = (pipeline: Pipeline): void => {
		if (pipeline.waiting.length === 0) {
			resumeReading(pipeline);
			pipeline.isBusy = false;
			return;
		}

		free.push(pipeline);
		schedule();
	};

	return {
		add(received) {
			const {socket} = received.request;
			if (!socket.writable) {
				// The rest of the read that has led to the close, or what was sent before its announcement has arrived.
				return;
			}

			const pipeline = pipelines.get(socket) ?? addPipeline(socket);
			if (!pipeline.isBusy) {
				start(pipeline, received);
				return;
			}

			const bytes = estimateWaitingBytes(received.request);
			pipeline.waiting.push({received, bytes});
			count(pipeline, 1, bytes);
			limitReading(pipeline);
			closeBeyondLimit();
		},
		countWaiting: () => getOpen().reduce((sum, {waiting}) => sum + waiting.length, 0),
		takeWaiting: () => getOpen().flatMap(pipeline => takeAll(pipeline)),
	};
};
