import {expect, test} from 'vitest';
import {startFleet} from './testing/start-fleet.js';

const readStatus = async (url: string): Promise<number> => {
	const {status} = await fetch(url);
	return status;
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
