/* eslint-disable no-await-in-loop, unicorn/no-process-exit -- A script whose steps follow each other, and whose exit status is its result. */
// Stand-ins for a small deployment, for the cases of the second review: a store, engines, an operator, callers,
// and the project's own program as separate processes on loopback addresses.
import {spawn} from 'node:child_process';
import {Buffer} from 'node:buffer';
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync, openSync, closeSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import process from 'node:process';

const root = fileURLToPath(new URL('../..', import.meta.url));
/** Exit status of a script that has seen the rule broken; any other but 0 says that it couldn't run. */
export const brokenStatus = 10;
const failedStatus = 2;
/** Longest time of a script, in milliseconds. */
const maxDuration = 118_000;

process.on('uncaughtException', error => {
	console.error(error);
	process.exit(failedStatus);
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
	process.on(signal, () => {
		process.exit(failedStatus);
	});
}

setTimeout(() => {
	console.error('the case takes too long');
	process.exit(failedStatus);
}, maxDuration).unref();

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Returns a free port of a loopback address. */
export const getFreePort = async (ip = '127.0.0.1') => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen(0, ip, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

/** Writes the record of a case: what was sent, answered and run. */
export const createRecord = path => {
	const startedAt = performance.now();
	writeFileSync(path, '');
	return line => {
		appendFileSync(path, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
	};
};

/** A store that follows the pages: linearizable, with leases, watches and an era. */
export class Store {
	items = new Map();
	revision = 100;
	era = 1;
	history = [];
	historyFrom = 100;
	leases = new Map();
	nextLease = 1000;
	waiting = new Set();
	sockets = new Set();
	/** Called with each call; returns false to answer nothing, or a status. */
	gate = undefined;

	async start(ip = '127.0.0.1') {
		this.server = http.createServer((request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('end', () => {
				this.handle(request, response, Buffer.concat(chunks).toString());
			});
		});
		this.server.keepAliveTimeout = 60_000;
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => this.sockets.delete(socket));
		});
		await new Promise(resolve => {
			this.server.listen(0, ip, resolve);
		});
		this.address = `${ip}:${this.server.address().port}`;
		this.timer = setInterval(() => {
			this.expire();
		}, 20);
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	change(event) {
		this.history.push(event);
		for (const wake of this.waiting) {
			wake();
		}
	}

	put(key, text, leaseId = 0) {
		this.revision += 1;
		const known = this.items.get(key);
		const item = {
			key, value: Buffer.from(text).toString('base64'), revision: this.revision, created: known?.created ?? this.revision, leaseId,
		};
		this.items.set(key, item);
		this.change(item);
		return this.revision;
	}

	remove(key) {
		if (this.items.delete(key)) {
			this.revision += 1;
			this.change({key, revision: this.revision, deleted: true});
		}
	}

	endLease(id) {
		this.leases.delete(id);
		for (const item of this.items.values()) {
			if (item.leaseId === id) {
				this.remove(item.key);
			}
		}
	}

	expire() {
		for (const [id, lease] of this.leases) {
			if (performance.now() > lease.until) {
				this.endLease(id);
			}
		}
	}

	/** Takes a copy from which the store can be restored. */
	copy() {
		return {
			items: new Map(this.items), revision: this.revision, leases: new Map([...this.leases].map(([id, lease]) => [id, {...lease}])), nextLease: this.nextLease,
		};
	}

	/** Comes back from a copy: revisions go back, and the era rises. */
	restore(copy) {
		this.items = new Map(copy.items);
		this.revision = copy.revision;
		this.nextLease = copy.nextLease;
		this.leases = new Map([...copy.leases].map(([id, lease]) => [id, {...lease, until: performance.now() + lease.ttl}]));
		this.era += 1;
		this.history = [];
		this.historyFrom = copy.revision;
		for (const wake of this.waiting) {
			wake();
		}
	}

	async handle(request, response, body) {
		const url = new URL(request.url, 'http://store');
		const [call = '', id = ''] = url.pathname.split('/').slice(2);
		const gated = await this.gate?.({
			call, id, method: request.method, body, url, from: request.socket.remoteAddress, socket: request.socket,
		});
		if (gated === false) {
			return;
		}

		const reply = (status, value) => {
			response.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.era)});
			response.end(value === undefined ? '' : JSON.stringify(value));
		};

		if (typeof gated === 'number') {
			reply(gated);
			return;
		}

		const sleepUntilChange = async after => {
			const {era} = this;
			const end = performance.now() + Number(url.searchParams.get('waitMs'));
			while (era === this.era && after >= this.revision && performance.now() < end && !response.destroyed) {
				await new Promise(resolve => {
					const timer = setTimeout(resolve, Math.max(1, end - performance.now()));
					const wake = () => {
						clearTimeout(timer);
						this.waiting.delete(wake);
						resolve();
					};

					this.waiting.add(wake);
				});
			}

			return era === this.era;
		};

		switch (`${request.method} ${call}`) {
			case 'GET kv-range': {
				const prefix = url.searchParams.get('prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const all = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
				reply(200, {items: all.slice(0, 500), truncated: all.length > 500, at: this.revision});
				break;
			}

			case 'GET kv-watch': {
				const after = Number(url.searchParams.get('after'));
				const isSameEra = after <= this.revision && after >= this.historyFrom && await sleepUntilChange(after);
				if (!isSameEra) {
					reply(410);
					break;
				}

				reply(200, {events: this.history.filter(({revision}) => revision > after), at: this.revision});
				break;
			}

			case 'POST kv-txn': {
				const {expect = [], write = [], delete: removals = []} = JSON.parse(body);
				const isHeld = expect.every(({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision);
				if (!isHeld) {
					reply(412, {items: expect.flatMap(({key}) => this.items.get(key) ?? [])});
					break;
				}

				if (write.some(({leaseId}) => leaseId > 0 && !this.leases.has(leaseId))) {
					reply(404);
					break;
				}

				for (const {key, value, leaseId} of write) {
					this.put(key, Buffer.from(value, 'base64').toString(), leaseId);
				}

				for (const key of removals) {
					this.remove(typeof key === 'string' ? key : key.key);
				}

				reply(200, {revision: this.revision});
				break;
			}

			case 'POST kv-lease': {
				const {ttlMs} = JSON.parse(body);
				this.nextLease += 1;
				this.leases.set(this.nextLease, {ttl: ttlMs, until: performance.now() + ttlMs});
				reply(200, {leaseId: this.nextLease, ttlMs});
				break;
			}

			case 'POST kv-keep': {
				const lease = this.leases.get(Number(id));
				if (lease === undefined) {
					reply(404);
					break;
				}

				lease.until = performance.now() + lease.ttl;
				reply(200, {ttlMs: lease.ttl});
				break;
			}

			case 'DELETE kv-lease-end': {
				this.endLease(Number(id));
				reply(200);
				break;
			}

			default: {
				reply(404);
			}
		}
	}
}

/** An engine; `answer` decides what becomes of a request, by default a whole answer with its id and its mark. */
export class Engine {
	runs = [];
	sockets = new Set();

	constructor({id, service, zone = 'z', store, answer, version = 'v1', slots = 64}) {
		Object.assign(this, {
			id, service, zone, store, slots, version, born: Date.now(),
		});
		this.answer = answer;
	}

	async start(ip = '127.0.0.1', port = 0) {
		this.server = http.createServer({maxHeaderSize: 65_536}, (request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('error', () => undefined);
			request.on('end', () => {
				this.handle(request, response, Buffer.concat(chunks));
			});
		});
		this.server.keepAliveTimeout = 60_000;
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => this.sockets.delete(socket));
		});
		await new Promise(resolve => {
			this.server.listen(port, ip, resolve);
		});
		this.address = `${ip}:${this.server.address().port}`;
		this.beat();
		this.timer = setInterval(() => {
			this.beat();
		}, 1200);
	}

	entry() {
		return JSON.stringify({
			service: this.service, address: this.address, zone: this.zone, version: this.version, batchSlots: this.slots, phase: this.phase ?? 'ready', warmupLeftMs: 0, sequence: 1, born: this.born,
		});
	}

	beat() {
		const key = `servers/${this.id}`;
		const text = this.entry();
		const known = this.store.items.get(key);
		if (known === undefined || Buffer.from(known.value, 'base64').toString() !== text) {
			this.store.put(key, text);
		}
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	handle(request, response, body) {
		const id = request.headers['gentianlift-attempt-id'];
		const expected = request.headers['gentianlift-expected-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'gentianlift-instance-id': this.id});
			response.end();
			return;
		}

		if (id === undefined) {
			response.writeHead(400, {'gentianlift-not-executed': '1'});
			response.end();
			return;
		}

		const run = {
			engine: this.id, id, method: request.method, path: request.url, headers: request.headers, body: body.toString('latin1'), at: performance.now(), request, response,
		};
		this.runs.push(run);
		this.onRun?.(run);
		const head = {'gentianlift-attempt-id': id, 'gentianlift-response-signature': `s.${this.id}.${id}`};
		if (this.answer === undefined) {
			response.writeHead(200, head);
			response.end(`answer of ${this.id} to ${id}`);
		} else {
			this.answer(run, response, head, body);
		}
	}
}

/** Hosts of the project's program. */
export class Fleet {
	hosts = [];

	constructor({store, settings = {}, logs}) {
		this.store = store;
		this.settings = settings;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.logs = logs ?? this.folder;
		process.once('exit', () => {
			this.kill();
		});
	}

	async add(name, {ip, zone = 'z', settings = {}, knownPeers} = {}) {
		const port = async () => getFreePort(ip);
		const host = {
			name, ip, callers: `${ip}:${await port()}`, readiness: `${ip}:${await port()}`, directory: `${ip}:${await port()}`, peers: `${ip}:${await port()}`,
		};
		const seeds = knownPeers ?? [...this.hosts.map(({peers}) => peers), host.peers].slice(0, 3);
		host.settings = {
			host: name, availabilityZone: zone, processorShare: 0.675, processorSpeed: 1, memory: 350, descriptors: 4100,
			callers: host.callers, readiness: host.readiness, directory: host.directory, peers: host.peers, ip, notesPort: await port(), metricsPort: await port(),
			knownPeers: seeds, store: this.store.address, grace: 8, addressLife: 5, retryRatio: 0.2, retryMinimum: 54, retryWindow: 10, ...this.settings, ...settings,
		};
		host.path = path.join(this.folder, `${name}.json`);
		writeFileSync(host.path, JSON.stringify(host.settings));
		this.hosts.push(host);
		this.start(host);
		return host;
	}

	start(host) {
		const log = openSync(path.join(this.logs, `${host.name}.log`), 'a');
		host.process = spawn(process.execPath, ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/gentianlift.mjs', 'run'], {
			cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, GENTIANLIFT_SETTINGS: host.path},
		});
		closeSync(log);
		host.exit = undefined;
		host.ended = new Promise(resolve => {
			host.process.once('exit', (code, signal) => {
				host.exit = {code, signal};
				resolve();
			});
		});
	}

	async waitUntilReady(timeout = 15_000) {
		const end = performance.now() + timeout;
		for (const host of this.hosts) {
			while (!await isReady(host)) {
				if (performance.now() > end) {
					throw new Error(`${host.name} isn't ready`);
				}

				await sleep(50);
			}
		}
	}

	/** Ends all hosts at once, however the script ends. */
	kill() {
		for (const {process: child, exit} of this.hosts) {
			if (exit === undefined) {
				child.kill('SIGKILL');
			}
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	async stop() {
		this.kill();
		await Promise.all(this.hosts.map(async ({ended}) => ended));
		rmSync(this.folder, {recursive: true, force: true});
	}
}

export const isReady = async ({readiness}) => {
	const answer = await call(readiness, {path: '/-/readyz', timeout: 1000});
	return answer.status === 200;
};

let attempts = 0;
export const newAttempt = () => {
	attempts += 1;
	return `a${String(process.pid).padStart(6, '0')}${String(attempts).padStart(9, '0')}`;
};

/** Makes a request on a connection of its own, or of an agent; never rejects. */
export const call = async (address, {method = 'GET', path, headers = {}, body, timeout = 10_000, agent = false, onData}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const startedAt = performance.now();
	const chunks = [];
	let done = false;
	const finish = result => {
		if (!done) {
			done = true;
			clearTimeout(timer);
			resolve({...result, body: Buffer.concat(chunks).toString('latin1'), duration: performance.now() - startedAt});
		}
	};

	const request = http.request({
		host, port, method, path, headers, agent,
	});
	const timer = setTimeout(() => {
		finish({status: 0, error: 'timeout'});
		request.destroy();
	}, timeout);
	request.on('error', error => {
		finish({status: 0, error: error.code ?? error.message});
	});
	request.on('response', response => {
		response.on('data', chunk => {
			chunks.push(chunk);
			onData?.(chunk);
		});
		response.on('error', () => undefined);
		response.on('close', () => {
			finish(response.complete ? {status: response.statusCode, headers: response.headers} : {status: response.statusCode, headers: response.headers, error: 'cut'});
		});
	});
	request.end(body);
});

/** A configuration of one host name with a route of each kind. */
export const createConfiguration = (version, changes = {}) => ({
	version,
	routes: [
		{
			name: 'r-once', host: 'a.example', prefix: '/once/', type: 'non_idempotent', service: 'app', timeoutMs: 3000, targetLatencyMs: 300, priority: 2, maxAttempts: 2, public: false, sticky: false, resumable: false,
		},
		{
			name: 'r-read', host: 'a.example', prefix: '/read/', type: 'idempotent', service: 'app', timeoutMs: 3000, targetLatencyMs: 300, priority: 2, maxAttempts: 3, public: false, sticky: false, resumable: false,
		},
		{
			name: 'r-stream', host: 'a.example', prefix: '/stream/', type: 'streaming', service: 'llm', timeoutMs: 8000, targetLatencyMs: 1000, itlTargetMs: 600, priority: 1, maxAttempts: 2, public: false, sticky: true, resumable: true,
		},
		{
			name: 'r-plain', host: 'a.example', prefix: '/plain/', type: 'streaming', service: 'llm', timeoutMs: 8000, targetLatencyMs: 1000, itlTargetMs: 600, priority: 1, maxAttempts: 1, public: false, sticky: true, resumable: false,
		},
	],
	services: [
		{
			name: 'app', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false,
		},
		{
			name: 'llm', healthPath: '/healthz', maxConnections: 360, protocol: 'h1', tls: false, engine: {
				batchSlots: 64, kvCapacity: 480_559, kvBytes: 18_432, linkMbps: 180_000, stride: 3, most: 12, pinMs: 4000, holdMs: 2000, handleTtlS: 5, models: [{name: 'm'}],
			},
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'ten-a', apiKeys: ['key-a'], priority: 1}, {name: 'ten-b', apiKeys: ['key-b'], priority: 2}],
	...changes,
});

export const caller = (attempt, {key = 'key-a', deadline = 3000, stream = false} = {}) => ({
	host: 'a.example', 'gentianlift-attempt-id': attempt, 'gentianlift-deadline-ms': String(deadline), 'gentianlift-key': key,
	...(stream && {'gentianlift-model': 'm', 'gentianlift-token-usage': '1460,80', 'gentianlift-prefix-hash': '5c1e07a2:800,91bd3f06:410,e4402b7d:250'}),
});
