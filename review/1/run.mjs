/** A host freezes for 3.8 s while clients have just opened connections to it and send their requests. */
import {connect} from 'node:net';
import {randomBytes} from 'node:crypto';
import {
	hasTrouble, runCase, sleep, waitUntilReady,
} from '../support/case.mjs';
import {hostname, key} from '../support/client.mjs';
import {startDeployment} from '../support/deployment.mjs';

/** How long the host is frozen. */
const freeze = 3800;
/** Time from the opening of a connection to the request on it; the limits allow clients 3 s. */
const pause = 150;
/** Statuses that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

/** Opens a connection, sends a request on it after a pause, and returns the status of the answer. */
const sendLater = async ({callers}, record) => {
	const attempt = randomBytes(8).toString('hex');
	const [host, port] = callers.split(':');
	const body = 'x'.repeat(600);
	const head = [
		'POST /stream/review/1 HTTP/1.1',
		`Host: ${hostname}`,
		`Gentianlift-Attempt-Id: ${attempt}`,
		'Gentianlift-Deadline-Ms: 12000',
		`Gentianlift-Key: ${key}`,
		'Gentianlift-Model: m',
		'Gentianlift-Token-Usage: 460,60',
		`Gentianlift-Prefix-Hash: a1:350,${attempt}:110`,
		`Content-Length: ${body.length}`,
	];
	const socket = connect({host, port: Number(port)});
	socket.on('connect', () => {
		setTimeout(() => {
			record.add('sent', {attempt, to: callers});
			socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
		}, pause);
	});
	let text = '';
	await new Promise(resolve => {
		socket.on('data', chunk => {
			text += chunk;
		});
		socket.on('error', resolve);
		socket.on('close', resolve);
		setTimeout(resolve, 12_000);
	});
	socket.destroy();
	const status = Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(text)?.groups.status);
	record.add('answered', {attempt, status});
	return {attempt, status};
};

await runCase(import.meta.dirname, async context => {
	const {record} = context;
	const {hosts} = await startDeployment(context, {
		hosts: [{name: 'edge-a-1', zone: 'zone-a'}, {name: 'edge-b-1', zone: 'zone-b'}],
		engines: [1, 2, 3].map(number => ({
			id: `i-pool-${number}`, service: 'pool', zone: 'zone-a', events: 20, interval: 50,
		})),
	});
	const host = hosts['edge-a-1'];
	await waitUntilReady(Object.values(hosts));
	await sleep(4000);
	const pending = [];
	const load = setInterval(() => pending.push(sendLater(host, record)), 50);
	context.onEnd(() => clearInterval(load));
	await sleep(1000);
	if (hasTrouble) {
		host.signal('SIGSTOP');
	}

	await sleep(500);
	clearInterval(load);
	await sleep(freeze - 500);
	if (hasTrouble) {
		host.signal('SIGCONT');
	}

	const results = await Promise.all(pending);
	const promised = results.filter(({status}) => promises.has(status));
	// As clients do after such a promise, these send the request once more, to another host.
	const retries = await Promise.all(promised.map(async () => sendLater(hosts['edge-b-1'], record)));
	await sleep(1000);
	const ran = new Set(record.find('runs').map(({attempt}) => attempt));
	const broken = promised.filter(({attempt}) => ran.has(attempt));
	const doubled = promised.filter(({attempt}, index) => ran.has(attempt) && ran.has(retries[index].attempt));
	const statuses = [...new Set(promised.map(({status}) => status))].join(', ');
	return {
		isBroken: broken.length > 0,
		summary: `${broken.length} of ${results.length} requests were answered with ${statuses || 'no promise'} and ran; ${doubled.length} of them ran again when their clients retried`,
	};
});
