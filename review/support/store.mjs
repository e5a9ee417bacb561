/** Stand-in for the platform's metadata store: items, leases, watches and transactions over HTTP. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const encode = text => Buffer.from(text, 'utf8').toString('base64');

const readText = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

/** Starts a store that listens on an address; `revision` is its first revision. */
export const startStore = async ({ip, port = 0, revision: firstRevision = 1000}) => {
	let revision = firstRevision;
	let era = 0;
	let items = new Map();
	let events = [];
	let leases = new Map();
	let nextLease = 70_000;
	let oldestEvent = firstRevision;
	const waiting = new Set();
	/** Whether calls get no answer. */
	const state = {isDown: false};

	const wake = () => {
		for (const check of waiting) {
			check();
		}
	};

	const apply = (writes, removals) => {
		revision += 1;
		for (const {key, value, leaseId = 0} of writes) {
			const item = {
				key, value, revision, created: items.get(key)?.created ?? revision, leaseId,
			};
			items.set(key, item);
			events.push(item);
		}

		for (const key of removals) {
			if (items.delete(key)) {
				events.push({key, revision, deleted: true});
			}
		}

		wake();
		return revision;
	};

	const endLease = id => {
		if (leases.delete(id)) {
			const keys = [...items.values()].filter(({leaseId}) => leaseId === id).map(({key}) => key);
			if (keys.length > 0) {
				apply([], keys);
			}
		}
	};

	const expiry = setInterval(() => {
		if (!state.isDown) {
			for (const [id, {endsAt}] of leases) {
				if (endsAt <= performance.now()) {
					endLease(id);
				}
			}
		}
	}, 50);

	const grant = ttlMs => {
		nextLease += 1;
		leases.set(nextLease, {ttlMs, endsAt: performance.now() + ttlMs});
		return nextLease;
	};

	const keep = id => {
		const lease = leases.get(id);
		if (lease !== undefined) {
			lease.endsAt = performance.now() + lease.ttlMs;
		}

		return lease;
	};

	const watch = async ({prefix, after, waitMs}) => {
		const collect = () => events.filter(event => event.revision > after && event.key.startsWith(prefix));
		if (after > revision || after < oldestEvent) {
			return {status: 410};
		}

		const watchEra = era;
		if (collect().length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const timer = setTimeout(finish, waitMs);
				function finish() {
					clearTimeout(timer);
					waiting.delete(check);
					resolve();
				}

				function check() {
					if (era !== watchEra || collect().length > 0) {
						finish();
					}
				}

				waiting.add(check);
			});
		}

		return era === watchEra ? {status: 200, body: {events: collect(), at: revision}} : {status: 410};
	};

	const commit = ({expect = [], write = [], delete: removals = []}) => {
		const changed = expect.filter(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected);
		if (changed.length > 0) {
			return {status: 412, body: {items: changed.flatMap(({key}) => items.get(key) ?? [])}};
		}

		if (write.some(({leaseId = 0}) => leaseId !== 0 && !leases.has(leaseId))) {
			return {status: 404};
		}

		return {status: 200, body: {revision: apply(write, removals.map(item => item.key ?? item))}};
	};

	const handle = async (method, url, body) => {
		const [call, id] = url.pathname.split('/').slice(2);
		const query = url.searchParams;
		switch (`${method} ${call}`) {
			case 'GET kv-range': {
				const prefix = query.get('prefix') ?? '';
				const after = query.get('after') ?? '';
				const found = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((one, other) => (one.key < other.key ? -1 : 1));
				return {status: 200, body: {items: found, truncated: false, at: revision}};
			}

			case 'GET kv-key': {
				const item = items.get(query.get('key'));
				return item === undefined ? {status: 404} : {status: 200, body: {...item, at: revision}};
			}

			case 'GET kv-watch': {
				return watch({prefix: query.get('prefix') ?? '', after: Number(query.get('after')), waitMs: Number(query.get('waitMs'))});
			}

			case 'POST kv-txn': {
				return commit(JSON.parse(body));
			}

			case 'POST kv-lease': {
				const {ttlMs} = JSON.parse(body);
				return {status: 200, body: {leaseId: grant(ttlMs), ttlMs}};
			}

			case 'POST kv-keep': {
				const lease = keep(Number(id));
				return lease === undefined ? {status: 404} : {status: 200, body: {ttlMs: lease.ttlMs}};
			}

			case 'DELETE kv-lease-end': {
				const isHeld = leases.has(Number(id));
				endLease(Number(id));
				return {status: isHeld ? 200 : 404};
			}

			default: {
				return {status: 404};
			}
		}
	};

	const answer = async (request, response) => {
		const body = await readText(request);
		if (state.isDown) {
			return;
		}

		const {status, body: reply = {}} = await handle(request.method, new URL(request.url, 'http://store'), body);
		if (state.isDown) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json', ...(era > 0 && {'store-era': String(era)})});
		response.end(JSON.stringify(reply));
	};

	const server = createServer((request, response) => {
		answer(request, response).catch(() => request.socket.destroy());
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(port, ip, resolve);
	});
	return {
		state,
		address: `${ip}:${server.address().port}`,
		/** Writes a value, as an operator or an engine does. */
		put: (key, value, leaseId = 0) => apply([{key, value: encode(JSON.stringify(value)), leaseId}], []),
		remove: key => apply([], [key]),
		has: key => items.has(key),
		getLeaseOf: key => items.get(key)?.leaseId,
		grant,
		keep,
		/** Returns a copy of all that the store holds. */
		copy: () => ({
			items: new Map(items), events: [...events], leases: new Map(leases), revision,
		}),
		/** Goes back to a copy: what was written since is gone, leases too; the era rises. */
		restore(copied) {
			items = new Map(copied.items);
			events = [...copied.events];
			leases = new Map([...copied.leases].map(([id, lease]) => [id, {...lease, endsAt: performance.now() + lease.ttlMs}]));
			revision = copied.revision;
			oldestEvent = firstRevision;
			era += 1;
			wake();
		},
		close() {
			clearInterval(expiry);
			server.close();
			server.closeAllConnections();
		},
	};
};
