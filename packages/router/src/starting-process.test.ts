import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SettingsDocument} from '@gentianlift/trial';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {readStatus, startHostProcess, type HostProcess} from './testing/host-process.js';
import {startPlatform, type TestPlatform} from './testing/start-fleet.js';

/** Longer than a new member takes to reach another host. */
const joinTime: Milliseconds = 3000;

const startServices = async (count: number): Promise<TestPlatform> => {
	const platform = await startPlatform(count, {logLevel: 'info'});
	onTestFinished(platform.fakes.close);
	return platform;
};

const startProcess = async (settings: SettingsDocument): Promise<HostProcess> => {
	const host = await startHostProcess(settings);
	onTestFinished(() => {
		host.sendSignal('SIGKILL');
	});
	return host;
};

const occupy = async (address: Address): Promise<Server> => {
	const server = createServer();
	onTestFinished(() => {
		server.close();
	});
	server.listen(splitAddress(address));
	await once(server, 'listening');
	return server;
};

const readHostNames = async (callerAddress: Address): Promise<string[]> => {
	const answer = await fetch(`http://${callerAddress}/v1/hosts`);
	const {hosts} = await answer.json() as {hosts: Array<{host: string}>};
	return hosts.map(({host}) => host);
};

// Guards against: a host that can't listen on its address for callers is named to callers for seconds after its process has ended.
test('a host that fails to start is not named to callers', async () => {
	const {settings: [running, failing]} = await startServices(2);
	if (running === undefined || failing === undefined) {
		throw new TypeError('There are no settings.');
	}

	await startProcess(running);
	await expect.poll(async () => readStatus(`http://${running.operatorAddress}/ready`)).toBe(200);
	await occupy(failing.callerAddress);
	const {exited} = await startProcess(failing);
	expect(await exited).toEqual({outcome: 1, log: expect.stringContaining('EADDRINUSE') as string});
	await sleep(joinTime);
	expect(await readHostNames(running.callerAddress)).toEqual([running.host]);
});
