import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {splitAddress} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {openPreparedConnection, type CallerRequest} from './testing/prepared-connection.js';
import {startFleet, type TestFleet} from './testing/start-fleet.js';

const readStatus = async (url: string): Promise<number> => {
	const {status} = await fetch(url);
	return status;
};

const createBooking = ({key}: TestFleet, idempotencyKey: string): CallerRequest => ({
	method: 'POST', path: '/v1/services/orders/cut-orders', body: '{"bar":1}', headers: {authorization: `Bearer ${key}`, 'idempotency-key': idempotencyKey},
});

const createRawBooking = ({key}: TestFleet, idempotencyKey: string): string => [
	'POST /v1/services/orders/cut-orders HTTP/1.1', 'host: a', `authorization: Bearer ${key}`, `idempotency-key: ${idempotencyKey}`, 'content-length: 2', '', '{}',
].join('\r\n');

const getExecutedKeys = ({fakes}: TestFleet): string[] => [...fakes.services.values()].flatMap(({calls}) => calls.map(({idempotencyKey}) => idempotencyKey));

const slowServices = ({fakes}: TestFleet, stallMs: number): void => {
	for (const {faults} of fakes.services.values()) {
		Object.assign(faults, {stallMs});
	}
};

test('a draining host is no longer listed for callers, completes its streams and exits with status 0', async () => {
	const fleet = await startFleet(2);
	const [leaving, staying] = fleet.hosts;
	const callers = `http://${leaving?.settings.callerAddress}`;
	const operators = `http://${leaving?.settings.operatorAddress}`;
	const sendChat = async () => fetch(`${callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.key}`},
		body: JSON.stringify({
			model: 'counter-8b', max_tokens: 200, stream: true, messages: [{role: 'user', content: 'long answer #tokens=200'}],
		}),
	});
	const runningResponse = await sendChat();
	leaving?.stop('test');
	leaving?.stop('again');
	expect(await readStatus(`${operators}/ready`)).toBe(503);
	const lateResponse = await sendChat();
	expect(lateResponse.headers.get('connection')).toBe('close');
	const readHosts = async (): Promise<string[]> => {
		const answer = await fetch(`http://${staying?.settings.callerAddress}/v1/hosts`);
		return (await answer.json() as {hosts: Array<{host: string}>}).hosts.map(({host}) => host);
	};

	await expect.poll(readHosts).toEqual([staying?.settings.host]);
	expect(await runningResponse.text()).toContain('data: [DONE]');
	expect(await lateResponse.text()).toContain('data: [DONE]');
	expect(await leaving?.ended).toBe(0);
	await fleet.close();
});

test('a forced stop reports the error to the caller and exits with status 1', async () => {
	const fleet = await startFleet(1);
	const [host] = fleet.hosts;
	const response = await fetch(`http://${host?.settings.callerAddress}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.key}`},
		body: JSON.stringify({
			model: 'counter-8b', max_tokens: 2000, stream: true, messages: [{role: 'user', content: 'endless #tokens=2000'}],
		}),
	});
	await fetch(`http://${host?.settings.operatorAddress}/operator/drain`, {method: 'POST', body: '{"force":true}'});
	expect(await response.text()).toContain('forced-stop');
	expect(await host?.ended).toBe(1);
	await fleet.close();
});

test('a drain can be cancelled while the host listens', async () => {
	const fleet = await startFleet(1, {addressTimeToLive: 60_000});
	const operators = `http://${fleet.hosts[0]?.settings.operatorAddress}`;
	await fetch(`${operators}/operator/drain`, {method: 'POST'});
	expect(await readStatus(`${operators}/ready`)).toBe(503);
	await fetch(`${operators}/operator/undrain`, {method: 'POST'});
	expect(await readStatus(`${operators}/ready`)).toBe(200);
	await fleet.close();
});

// Guards against: an operator is told that a host is back in service while it ends.
test('a drain that can no longer be cancelled is reported as such', async () => {
	const fleet = await startFleet(1);
	const [host] = fleet.hosts;
	slowServices(fleet, 800);
	const connection = await openPreparedConnection(host?.settings.callerAddress ?? '');
	const pending = connection.send(createBooking(fleet, 'slow'));
	const operators = `http://${host?.settings.operatorAddress}/operator`;
	await expect.poll(() => getExecutedKeys(fleet)).toEqual(['slow']);
	await fetch(`${operators}/drain`, {method: 'POST', body: '{"force":true}'});
	const answer = await fetch(`${operators}/undrain`, {method: 'POST'});
	expect([answer.status, answer.headers.get('x-error-kind')]).toEqual([503, 'host-stopping']);
	expect(await pending).toMatchObject({status: 200});
	expect(await host?.ended).toBe(1);
	await fleet.fakes.close();
});

// Guards against: requests on connections that stay open after the listener has closed are passed on while the host ends.
test('a stopping host refuses requests on open connections as not run, and completes its streams', async () => {
	const fleet = await startFleet(1);
	const [host] = fleet.hosts;
	const callers = host?.settings.callerAddress ?? '';
	const [unused, kept] = [await openPreparedConnection(callers), await openPreparedConnection(callers)];
	expect(await kept.send({method: 'GET', path: '/v1/hosts', headers: {}})).toMatchObject({status: 200, connection: 'keep-alive'});
	const stream = await fetch(`http://${callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${fleet.key}`},
		body: JSON.stringify({
			model: 'counter-8b', max_tokens: 800, stream: true, messages: [{role: 'user', content: 'long answer #tokens=800'}],
		}),
	});
	host?.stop('test');
	const readReason = async (): Promise<string> => {
		const answer = await fetch(`http://${host?.settings.operatorAddress}/ready`);
		return (await answer.json() as {reason: string}).reason;
	};

	await expect.poll(readReason).toBe('stopping');
	expect(await unused.send(createBooking(fleet, 'late'))).toMatchObject({
		status: 503, ran: 'not-run', errorKind: 'host-stopping', connection: 'close',
	});
	expect(await kept.send(createBooking(fleet, 'later'))).toEqual({kind: 'closed'});
	expect(await stream.text()).toContain('data: [DONE]');
	expect(await host?.ended).toBe(0);
	expect(getExecutedKeys(fleet)).toEqual([]);
	await fleet.fakes.close();
});

// Guards against: a booking that goes on after a forced stop is answered with an empty 200 in place of its answer.
test('a forced stop delivers the answer of a booking that was sent', async () => {
	const fleet = await startFleet(1);
	slowServices(fleet, 500);
	const [host] = fleet.hosts;
	const connection = await openPreparedConnection(host?.settings.callerAddress ?? '');
	const pending = connection.send(createBooking(fleet, 'running'));
	await expect.poll(() => getExecutedKeys(fleet)).toEqual(['running']);
	await fetch(`http://${host?.settings.operatorAddress}/operator/drain`, {method: 'POST', body: '{"force":true}'});
	const result = await pending;
	expect(result).toMatchObject({status: 200, ran: 'ran'});
	expect(result.kind === 'answered' ? result.body : '').toContain('"idempotencyKey":"running"');
	expect(await host?.ended).toBe(1);
	await fleet.fakes.close();
});

// Guards against: a request whose body arrives after a forced stop has aborted the others is passed on, and the host waits for it.
test('a request that is still being received when the stop is forced does not run', async () => {
	const fleet = await startFleet(1);
	const [host] = fleet.hosts;
	const body = JSON.stringify({model: 'counter-8b', max_tokens: 2000, messages: [{role: 'user', content: 'endless #tokens=2000'}]});
	const sending = request(`http://${host?.settings.callerAddress}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${fleet.key}`, 'content-length': body.length},
	});
	const answered = once(sending, 'response');
	sending.write(body.slice(0, 10));
	const readRunning = async (): Promise<number> => {
		const status = await fetch(`http://${host?.settings.operatorAddress}/operator/status`);
		return (await status.json() as {requests: {running: number}}).requests.running;
	};

	await expect.poll(readRunning).toBe(1);
	await fetch(`http://${host?.settings.operatorAddress}/operator/drain`, {method: 'POST', body: '{"force":true}'});
	sending.end(body.slice(10));
	const [response] = await answered as [IncomingMessage];
	expect([response.statusCode, response.headers['x-error-kind'], response.headers['x-ran']]).toEqual([503, 'forced-stop', 'not-run']);
	expect(await host?.ended).toBe(1);
	expect([...fleet.fakes.engines.values()].map(engine => engine.getState().received)).toEqual([...fleet.fakes.engines].map(() => 0));
	await fleet.fakes.close();
});

// Guards against: the first answer closes the connection over the requests behind it, which have been passed on.
test('a draining host answers every request that it has taken from a connection', async () => {
	const fleet = await startFleet(1, {addressTimeToLive: 60_000});
	slowServices(fleet, 200);
	const [host] = fleet.hosts;
	host?.stop('test');
	const socket = connect(splitAddress(host?.settings.callerAddress ?? ''));
	const keys = ['first', 'second', 'third'];
	socket.write(keys.map(key => createRawBooking(fleet, key)).join(''));
	const answers = await text(socket);
	expect(getExecutedKeys(fleet).toSorted()).toEqual(keys.toSorted());
	expect(keys.filter(key => answers.includes(`"idempotencyKey":"${key}"`))).toEqual(keys);
	expect(answers.match(/connection: close/giv)).toHaveLength(1);
	await fleet.close();
});

// Guards against: a request that comes behind an answer that closes the connection is passed on, and can't be answered.
test('a draining host takes no request from a connection whose close it has announced', async () => {
	const fleet = await startFleet(1, {addressTimeToLive: 60_000});
	const [host] = fleet.hosts;
	host?.stop('test');
	const socket = connect(splitAddress(host?.settings.callerAddress ?? ''));
	const body = JSON.stringify({
		model: 'counter-8b', max_tokens: 200, stream: true, messages: [{role: 'user', content: 'long answer #tokens=200'}],
	});
	socket.write(['POST /v1/chat/completions HTTP/1.1', 'host: a', `authorization: Bearer ${fleet.key}`, `content-length: ${body.length}`, '', body].join('\r\n'));
	const [first] = await once(socket, 'data') as [Uint8Array];
	socket.write(createRawBooking(fleet, 'behind'));
	const answer = String(first) + await text(socket);
	expect(answer).toContain('connection: close');
	expect(answer).toContain('data: [DONE]');
	expect(answer.match(/HTTP\/1\.1 \d+/gv)).toEqual(['HTTP/1.1 200']);
	expect(getExecutedKeys(fleet)).toEqual([]);
	await fleet.close();
});
