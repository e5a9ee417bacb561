import {Agent} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {readMemory} from './child.js';
import {customerKey, modelName} from './configuration.js';
import {callOnce} from './drive.js';
import type {Rig} from './rig.js';

/** Memory of the router with slow callers. */
export type SlowRun = {
	/** Callers that read nothing of their answer. */
	readers: number;
	/** Callers that never finish their headers. */
	senders: number;
	bytesBefore: number;
	bytesAfter: number;
	bytesPerReader: number;
	/** Whether a new caller still got a whole answer. */
	isServing: boolean;
};

const batch = 200;
const batchPause = 50;
const settleTime = 5000;
const answerLimit = 20_000;
const longAnswer = 1_000_000;

const createRequestText = (): string => {
	const body = JSON.stringify({model: modelName, stream: true, messages: [{role: 'user', content: `Slow #tokens=${longAnswer}`}]});
	return [
		'POST /v1/chat/completions HTTP/1.1', 'host: router', `authorization: Bearer ${customerKey}`, 'content-type: application/json', `content-length: ${body.length}`, '', body,
	].join('\r\n');
};

const openSlow = (address: string, text: string): Socket => {
	const [host = '', port = ''] = address.split(':');
	const socket = createConnection({host, port: Number(port)});
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(text);
	return socket;
};

const openMany = async (address: string, count: number, text: string): Promise<Socket[]> => {
	const clock = createSystemClock();
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		sockets.push(...Array.from({length: Math.min(batch, count - sockets.length)}, () => openSlow(address, text)));
		// eslint-disable-next-line no-await-in-loop -- Connections are opened a batch at a time.
		await clock.sleep(batchPause);
	}

	return sockets;
};

const isServing = async (address: string): Promise<boolean> => {
	const agent = new Agent();
	const answer = callOnce({address, tokens: 3, stream: true}, {agent, caller: 0, onEvents: () => undefined});
	const late = createSystemClock().sleep(answerLimit);
	try {
		const outcome = await Promise.race([answer, late]);
		return outcome?.status === 200;
	} catch {
		return false;
	} finally {
		agent.destroy();
	}
};

/** Measures the router's memory with callers that read nothing, and with others that never finish their headers. */
export const measureSlow = async (rig: Rig, readers: number, senders: number): Promise<SlowRun> => {
	const clock = createSystemClock();
	const address = rig.router.settings.callerAddress;
	const bytesBefore = await readMemory(rig.router.pid);
	const open = await openMany(address, readers, createRequestText());
	await clock.sleep(settleTime);
	const bytesWithReaders = await readMemory(rig.router.pid);
	open.push(...await openMany(address, senders, 'POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n'));
	await clock.sleep(settleTime);
	const result: SlowRun = {
		readers,
		senders,
		bytesBefore,
		bytesAfter: await readMemory(rig.router.pid),
		bytesPerReader: (bytesWithReaders - bytesBefore) / readers,
		isServing: await isServing(address),
	};
	for (const socket of open) {
		socket.destroy();
	}

	return result;
};
