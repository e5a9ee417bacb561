import {Agent} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {readResidentBytes} from './child.js';
import {customerKey, modelName} from './configuration.js';
import {callOnce} from './drive.js';
import type {TestSetup} from './rig.js';

/** Memory of the router under slow callers. */
export type SlowCallerMeasurement = {
	/** Number of callers that never read their answer. */
	readers: number;
	/** Number of callers that never finish their request headers. */
	senders: number;
	/** Resident bytes before any slow caller connects. */
	bytesBefore: number;
	/** Resident bytes with all slow callers connected. */
	bytesAfter: number;
	bytesPerReader: number;
	/** Whether a new caller was still answered with status 200 in time. */
	isServing: boolean;
};

const batchSize = 200;
const batchPauseMs = 50;
const stabilizationTimeMs = 5000;
const answerTimeoutMs = 20_000;
const longAnswerTokens = 1_000_000;

const createRequestText = (): string => {
	const body = JSON.stringify({model: modelName, stream: true, messages: [{role: 'user', content: `Slow #tokens=${longAnswerTokens}`}]});
	return [
		'POST /v1/chat/completions HTTP/1.1', 'host: router', `authorization: Bearer ${customerKey}`, 'content-type: application/json', `content-length: ${body.length}`, '', body,
	].join('\r\n');
};

const openSlowConnection = (address: string, text: string): Socket => {
	const [host = '', port = ''] = address.split(':');
	const socket = createConnection({host, port: Number(port)});
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(text);
	return socket;
};

const openSlowConnections = async (address: string, count: number, text: string): Promise<Socket[]> => {
	const clock = createSystemClock();
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		sockets.push(...Array.from({length: Math.min(batchSize, count - sockets.length)}, () => openSlowConnection(address, text)));
		// eslint-disable-next-line no-await-in-loop -- Connections are opened in batches.
		await clock.sleep(batchPauseMs);
	}

	return sockets;
};

const isServing = async (address: string): Promise<boolean> => {
	const agent = new Agent();
	const answer = callOnce({address, tokens: 3, stream: true}, {agent, caller: 0, onEvents: () => undefined});
	const timeout = createSystemClock().sleep(answerTimeoutMs);
	try {
		const outcome = await Promise.race([answer, timeout]);
		return outcome?.status === 200;
	} catch {
		return false;
	} finally {
		agent.destroy();
	}
};

/** Measures the router's memory with callers that never read their answer, then also with callers that never finish their request headers. */
export const measureSlowCallers = async (setup: TestSetup, readers: number, senders: number): Promise<SlowCallerMeasurement> => {
	const clock = createSystemClock();
	const address = setup.router.settings.callerAddress;
	const bytesBefore = await readResidentBytes(setup.router.pid);
	const sockets = await openSlowConnections(address, readers, createRequestText());
	await clock.sleep(stabilizationTimeMs);
	const bytesWithReaders = await readResidentBytes(setup.router.pid);
	sockets.push(...await openSlowConnections(address, senders, 'POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n'));
	await clock.sleep(stabilizationTimeMs);
	const result: SlowCallerMeasurement = {
		readers,
		senders,
		bytesBefore,
		bytesAfter: await readResidentBytes(setup.router.pid),
		bytesPerReader: (bytesWithReaders - bytesBefore) / readers,
		isServing: await isServing(address),
	};
	for (const socket of sockets) {
		socket.destroy();
	}

	return result;
};
