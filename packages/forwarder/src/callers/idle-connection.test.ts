import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createSystemClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, onTestFinished, test} from 'vitest';
import {createCallerConnections} from './caller-connections.js';

const collectGarbage = (): void => {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
};

// Guards against: each connection that callers keep open holds the headers of its last request.
test('a connection that is kept open holds no request that was answered', async () => {
	const requests: Array<WeakRef<IncomingMessage>> = [];
	const connections = createCallerConnections({
		clock: createSystemClock(), logger: createSilentLogger(), metrics: createMetrics(), isStopping: () => false, answerPartial: () => undefined,
	});
	const server = createServer((request, response) => {
		requests.push(new WeakRef(request));
		connections.accept(request, response);
		response.end('ok');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	onTestFinished(() => {
		socket.destroy();
		server.close();
	});
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await once(socket, 'data');
	await sleep(50);
	collectGarbage();
	await sleep(50);
	collectGarbage();
	expect(requests).toHaveLength(1);
	expect(requests[0]?.deref()).toBeUndefined();
	expect(socket.destroyed).toBe(false);
});
