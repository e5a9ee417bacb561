import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import process from 'node:process';
import {createSystemClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {expect, onTestFinished, test} from 'vitest';
import type {HostRecord} from './host-record.js';
import {startReportBroadcaster} from './report-broadcast.js';

/** Loopback address derived from the process id, as test processes may run in parallel. */
const loopback = `127.2.${process.pid % 250}.${1 + (Math.floor(process.pid / 250) % 250)}`;
const firstPort = 20_000;

const hosts: HostRecord[] = ['h0', 'h1'].map((host, index) => ({
	host, incarnation: 1, zone: 'a', callers: `${loopback}:1`, peers: `${loopback}:2`, notes: `${loopback}:${firstPort + index}`, strength: 1, isStopping: false,
}));

// Guards against: a host whose predecessor still has the address for load reports never receives any.
test('a host receives load reports as soon as its address for them is free', async () => {
	const holder = createSocket('udp4');
	holder.bind(firstPort, loopback);
	await once(holder, 'listening');
	const senders = new Set<string>();
	const clock = createSystemClock();
	const [receiver, sender] = hosts.map(own => startReportBroadcaster({
		own,
		getOthers: () => hosts.filter(other => other !== own),
		clock,
		logger: createSilentLogger(),
		onReport({host}) {
			senders.add(host);
		},
		onChanges: () => true,
	}));
	onTestFinished(() => {
		receiver?.close();
		sender?.close();
	});
	await clock.sleep(100);
	holder.close();
	await expect.poll(() => {
		sender?.send({
			host: 'h1', incarnation: 1, sequence: 1, revision: 1, isStopping: false, loads: [], prefills: [], crashes: [], goodEnds: [], limits: [], streams: [], leaving: [],
		});
		return [...senders];
	}, {timeout: 5000}).toEqual(['h1']);
});
