/** Stand-in for an engine or an application server: it registers itself, runs requests and tells the record. */
import {once} from 'node:events';
import {createServer} from 'node:http';

const heartbeat = 1200;
const sleep = async duration => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/**
Starts an engine. A request under `/stream/` gets `events` events, one each `interval` ms; any other is answered after `work` ms.

`dropsOnClose` says whether a run ends when its connection closes, as with most engines.
*/
export const startEngine = async ({
	ip, id, service, zone, store, record, version = 'v1', work = 40, interval = 50, events = 40, slots = 64, dropsOnClose = true, firstToken = 60, prefillRate, isUnframed = false, crashingPart, crashTime = 2500,
}) => {
	/** Until when nothing is sent, by the steady clock. */
	const state = {
		silentUntil: 0, isLeaving: false, running: 0, version, incarnation: 1,
	};
	const waitForVoice = async () => {
		while (performance.now() < state.silentUntil) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(Math.max(1, state.silentUntil - performance.now()));
		}
	};

	/** Prompts are read one after the other, at a rate in tokens a ms; without a rate each takes the same time. */
	let lastPrefill = Promise.resolve();
	const prefill = async ({headers}) => {
		if (prefillRate === undefined) {
			await sleep(firstToken);
			return;
		}

		const tokens = Number(headers['gentianlift-token-usage'].split(',')[0]);
		const previous = lastPrefill;
		lastPrefill = previous.then(async () => sleep(tokens / prefillRate));
		await lastPrefill;
	};

	const serve = async (request, response) => {
		const attempt = request.headers['gentianlift-attempt-id'];
		const expected = request.headers['gentianlift-expected-instance'];
		const {incarnation} = state;
		let isClosed = false;
		response.on('close', () => {
			isClosed = !response.writableFinished;
		});
		request.resume();
		await once(request, 'end');

		if (expected !== undefined && expected !== id) {
			record.add('rejected', {engine: id, attempt, status: 421});
			response.writeHead(421, {'gentianlift-instance-id': id, 'content-length': 0});
			response.end();
			return;
		}

		const after = Number(request.headers['last-event-id'] ?? 0);
		record.add('reached', {engine: id, attempt, after});
		state.running += 1;
		const headers = {
			'gentianlift-attempt-id': attempt,
			'gentianlift-response-signature': `sig.${id}.${attempt}`,
			'gentianlift-instance-id': id,
			...(state.isLeaving && {'server-leaving': '1'}),
		};
		try {
			if (!request.url.startsWith('/stream/')) {
				await sleep(work);
				await waitForVoice();
				const body = `${id}:${attempt}`.padEnd(800, '.');
				response.writeHead(200, {...headers, 'content-type': 'text/plain', 'content-length': body.length});
				response.end(body);
				record.add('ended', {engine: id, attempt, client: isClosed ? 'gone' : 'there'});
				return;
			}

			await prefill(request);
			if (state.incarnation !== incarnation) {
				return;
			}

			record.add('runs', {engine: id, attempt, after});
			if (crashingPart !== undefined && request.headers['gentianlift-prefix-hash'].split(',').some(entry => entry.startsWith(`${crashingPart}:`))) {
				engine.crash();
				await sleep(crashTime);
				await engine.restart(state.version);
				return;
			}

			for (let number = after + 1; number <= events; number++) {
				// eslint-disable-next-line no-await-in-loop
				await waitForVoice();
				if (state.incarnation !== incarnation) {
					return;
				}

				if (isClosed && dropsOnClose) {
					record.add('dropped', {engine: id, attempt, number});
					return;
				}

				if (!response.headersSent) {
					// Without chunks and length, the answer ends with its connection.
					response.useChunkedEncodingByDefault = !isUnframed;
					response.writeHead(200, {...headers, 'gentianlift-weight-versions': '1', 'content-type': 'text/event-stream'});
				}

				response.write(`id: ${number}\ndata: ${state.version} ${attempt}/${number}\n\n`);
				record.add('event', {
					engine: id, attempt, number, client: isClosed ? 'gone' : 'there',
				});
				// eslint-disable-next-line no-await-in-loop
				await sleep(interval);
			}

			response.end();
			record.add('ended', {engine: id, attempt, client: isClosed ? 'gone' : 'there'});
		} finally {
			state.running -= 1;
		}
	};

	let server;
	const listen = async port => {
		server = createServer((request, response) => {
			serve(request, response).catch(() => response.destroy());
		});
		server.keepAliveTimeout = 20_000;
		await new Promise(resolve => {
			server.listen(port, ip, resolve);
		});
	};

	await listen(0);
	const {port} = server.address();
	const address = `${ip}:${port}`;
	const key = `servers/${id}`;
	let born = Date.now();
	let sequence = 0;
	let phase = 'ready';
	let lease;
	/** Whether the store has yet to be told of the present state. */
	let isUnwritten = true;
	const write = () => {
		if (store.state.isDown) {
			isUnwritten = true;
			return;
		}

		sequence += 1;
		lease = lease !== undefined && store.keep(lease) !== undefined ? lease : store.grant(3 * heartbeat);
		store.put(key, {
			service, address, zone, version: state.version, batchSlots: slots, phase, warmupLeftMs: 0, sequence, born,
		}, lease);
		record.add('entry-written', {engine: id, version: state.version, phase});
		isUnwritten = false;
	};

	write();
	const beat = setInterval(() => {
		if (!store.state.isDown && (store.keep(lease) === undefined || isUnwritten)) {
			write();
		}
	}, heartbeat);
	const engine = {
		id,
		key,
		address,
		state,
		/** Falls silent for a time: nothing is sent, and what is due then follows at once. */
		fallSilent(duration) {
			state.silentUntil = performance.now() + duration;
			record.add('silent', {engine: id, for: duration});
		},
		drain() {
			phase = 'draining';
			write();
			record.add('draining', {engine: id});
		},
		/** Removes its entry without having reported that it drains, and goes on serving. */
		removeEntry() {
			clearInterval(beat);
			store.remove(key);
			record.add('entry-removed', {engine: id});
		},
		/** Stops to renew its entry, which the store removes when the lease ends. */
		stopBeats() {
			clearInterval(beat);
		},
		/** Ends at once, as a process that is killed. */
		crash() {
			state.incarnation += 1;
			record.add('engine-crashes', {engine: id, running: state.running});
			server.close();
			server.closeAllConnections();
		},
		/** Starts again under its id and at its address, with another software version. */
		async restart(nextVersion) {
			state.version = nextVersion;
			born = Date.now();
			await listen(port);
			record.add('engine-starts', {engine: id, version: nextVersion});
			write();
		},
		exit() {
			clearInterval(beat);
			record.add('engine-exits', {engine: id, running: state.running});
			server.close();
			server.closeAllConnections();
		},
	};
	return engine;
};
