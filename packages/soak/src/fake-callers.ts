import {Agent, type RequestOptions} from 'node:http';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import type {CallOptions, Callers} from './deployment.js';
import {isCompleteResponse, sendAndReceive} from './exchange.js';
import {callerPlaceholder, oddCallTimeout, startOddCallers} from './odd-bodies.js';
import {receiveAnswer} from './receive-answer.js';
import {receiveResumableStream, type StreamRequest, type StreamSender} from './resumable-stream.js';

/** A request without a body: its path and headers. */
export type CallerRequest = {path: string; headers?: Record<string, string>};

/** How callers speak on a platform. */
export type CallerWire = {
	buildHeaders: (call: CallOptions) => Record<string, string>;
	/** Returns the headers by which a stream is resumed. */
	buildResumeHeaders: (request: StreamRequest) => Record<string, string>;
	/** Returns a request of the route that a version of the configuration adds. */
	buildProbe: (version: number, attempt: string) => CallerRequest;
	/** Returns a request for the addresses of hosts. */
	buildResolution: () => CallerRequest;
	/** Port on which hosts answer that. */
	directoryPort: number;
};

/** Time for which a caller waits beyond its timeout, to see whether an answer arrives at all. */
const answerGracePeriod: Milliseconds = 2000;
/** Timeout of probes and of requests for the addresses of hosts. */
const requestTimeout: Milliseconds = 1000;

/** Creates callers that reuse connections until hosts close them. */
export const createFakeCallers = (wire: CallerWire): Callers => {
	const agent = new Agent({keepAlive: true, maxFreeSockets: 32});
	const buildOptions = (address: Address, request: CallerRequest): RequestOptions => ({...splitAddress(address), agent, ...request});
	const requestStream: StreamSender = async (request, onText) => sendAndReceive({
		...buildOptions(request.call.address, {path: '/resumable/1', headers: {...wire.buildHeaders(request.call), ...wire.buildResumeHeaders(request)}}),
		method: 'POST',
	}, request.call.attempt, request.call.timeout + answerGracePeriod, onText);

	return {
		async send(options) {
			const {kind, address, timeout} = options;
			if (kind === 'resumable') {
				return receiveResumableStream(options, requestStream);
			}

			return receiveAnswer(options, {
				...buildOptions(address, {path: `/${kind}/1`, headers: wire.buildHeaders(options)}), method: kind === 'lookup' ? 'GET' : 'POST',
			}, timeout + answerGracePeriod);
		},
		async probe(address, version) {
			const result = await sendAndReceive(buildOptions(address, wire.buildProbe(version, `probe-${version}-${performance.now()}`)), '', requestTimeout);
			return isCompleteResponse(result) ? result.status : undefined;
		},
		async resolve(hostIp) {
			const result = await sendAndReceive(buildOptions(`${hostIp}:${wire.directoryPort}`, wire.buildResolution()), '', requestTimeout);
			return isCompleteResponse(result) && result.status === 200 ? (JSON.parse(result.text) as {addresses: Address[]}).addresses : [];
		},
		sendOddBodies: (address, bodies, prefix) => startOddCallers({
			address, bodies, path: '/booking/1', headers: wire.buildHeaders({
				attempt: `${prefix}-${callerPlaceholder}`, kind: 'booking', address, timeout: oddCallTimeout, pickAddress: () => address,
			}),
		}),
		close() {
			agent.destroy();
		},
	};
};
