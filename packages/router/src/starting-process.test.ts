import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SettingsDocument} from '@gentianlift/trial';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {readStatus, startHostProcess, type HostProcess} from './testing/host-process.js';
import {startHost} from './host/start-host.js';
import {parseHostSettings, startPlatform, type TestPlatform} from './testing/start-fleet.js';

/** Longer than the start of a host takes without it, so that signals arrive before the configuration. */
const storeLatency: Milliseconds = 1500;
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

// Guards against: a signal that arrives before the host has its configuration ends the process over the requests that it already takes.
test.each(['SIGTERM', 'SIGHUP'] as const)('a host that gets %s while it starts stops gracefully', async signal => {
	const {fakes, settings: [settings]} = await startServices(1);
	if (settings === undefined) {
		throw new TypeError('There are no settings.');
	}

	fakes.keyValue.faults.latencyMs = storeLatency;
	const {exited, getLog, sendSignal} = await startProcess(settings);
	await expect.poll(getLog, {interval: 10}).toContain('event=listening');
	expect(await readHostNames(settings.callerAddress)).toEqual([settings.host]);
	sendSignal(signal);
	const {outcome, log} = await exited;
	expect(outcome).toBe(0);
	expect(log.split('\n')[1]).toContain(`event=draining reason=${signal}`);
	expect(log).toContain('event=stopped open=0');
});

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

// Guards against: a start that fails after the address for callers is open ends the process over requests that it has read.
test('a host that cannot take its address for membership takes no request', async () => {
	const {settings: [settings]} = await startServices(1);
	const {host, port} = splitAddress(settings!.gossipAddress);
	const predecessor = createSocket('udp4');
	onTestFinished(() => {
		predecessor.close();
	});
	predecessor.bind(port, host);
	await once(predecessor, 'listening');
	await expect(startHost(parseHostSettings(settings!), () => undefined)).rejects.toThrow('EADDRINUSE');
	const caller = connect(splitAddress(settings!.callerAddress));
	onTestFinished(() => {
		caller.destroy();
	});
	await expect(once(caller, 'connect')).rejects.toThrow('ECONNREFUSED');
});
