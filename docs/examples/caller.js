// A caller of gentianlift for Node 20: keeps the list of addresses, spreads its
// requests by weight, and tries again only where that is safe.

const shortestPause = 200;
const attempts = 4;

const pickByWeight = hosts => {
	let left = Math.random() * hosts.reduce((sum, {weight}) => sum + weight, 0);
	return hosts.find(({weight}) => {
		left -= weight;
		return left < 0;
	}) ?? hosts[0];
};

const readError = async answer => {
	const body = await answer.json().catch(() => ({}));
	return body.error ?? {code: 'unreadable', ran: 'unknown', retry: 'later'};
};

/** Creates a caller from some addresses that are known beforehand, such as `['10.0.0.1:8080']`. */
export const createCaller = ({known, key, zone}) => {
	let hosts = known.map(address => ({address, weight: 1}));
	let askAt = 0;
	const resting = new Map();

	const getUsable = () => {
		const usable = hosts.filter(({address}) => (resting.get(address) ?? 0) < Date.now());
		return usable.length > 0 ? usable : hosts;
	};

	const refresh = async () => {
		const addresses = [...getUsable().map(({address}) => address), ...known];
		for (const address of addresses.slice(0, attempts)) {
			try {
				const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
				const answer = await fetch(`http://${address}/v1/hosts${query}`, {signal: AbortSignal.timeout(1000)});
				const next = await answer.json();
				hosts = next.hosts.length > 0 ? next.hosts : hosts;
				askAt = Date.now() + next.timeToLive;
				return;
			} catch {
				resting.set(address, Date.now() + 1000);
			}
		}
	};

	const attempt = async (path, options) => {
		if (Date.now() >= askAt) {
			await refresh();
		}

		const {address} = pickByWeight(getUsable());
		try {
			const answer = await fetch(`http://${address}${path}`, options);
			return answer.ok ? {answer} : {error: await readError(answer)};
		} catch (error) {
			// Another host may serve it; the list is out of date.
			resting.set(address, Date.now() + 5000);
			askAt = 0;
			return {error: {code: 'connection', ran: 'unknown', retry: 'later', message: String(error)}};
		}
	};

	/**
	 * Sends a request. `idempotencyKey` is needed for a call that must run at most once, and must be
	 * the same for each attempt. Without it, only requests that may run twice belong here.
	 */
	const send = async (path, {method = 'POST', body, idempotencyKey} = {}) => {
		const headers = {authorization: `Bearer ${key}`, 'content-type': 'application/json'};
		if (idempotencyKey !== undefined) {
			headers['idempotency-key'] = idempotencyKey;
		}

		for (let number = 1; ; number++) {
			const {answer, error} = await attempt(path, {method, headers, body: body && JSON.stringify(body)});
			if (answer !== undefined) {
				return answer;
			}

			if (error.retry === 'never' || number === attempts) {
				throw Object.assign(new Error(error.message ?? error.code), error);
			}

			const pause = error.retry === 'now' ? shortestPause : (error.retry_after ?? 0.5) * 1000;
			await new Promise(resolve => setTimeout(resolve, pause * (0.5 + Math.random())));
		}
	};

	return {send};
};
