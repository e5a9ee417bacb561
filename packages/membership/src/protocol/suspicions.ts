import type {HostId, Milliseconds} from '@gentianlift/types';

/** Suspected hosts, and the timeout after which each is declared gone. */
export type Suspicions = {
	/** Starts the timeout of a host, unless it is already running. */
	start: (host: HostId, now: Milliseconds, timeout: Milliseconds) => void;
	cancel: (host: HostId) => void;
	/** Shortens the timeout of a suspected host, on further evidence that it is gone. */
	shortenTimeout: (host: HostId, timeout: Milliseconds) => void;
	/** Extends all timeouts, after a pause of this process. */
	postpone: (by: Milliseconds) => void;
	/** Returns the hosts whose timeout, multiplied by `factor`, has expired. */
	getExpired: (now: Milliseconds, factor: number) => HostId[];
};

type Suspicion = {since: Milliseconds; timeout: Milliseconds};

/** Creates an empty set of suspicions. */
export const createSuspicions = (): Suspicions => {
	const suspicions = new Map<HostId, Suspicion>();
	return {
		start(host, now, timeout) {
			if (!suspicions.has(host)) {
				suspicions.set(host, {since: now, timeout});
			}
		},
		cancel(host) {
			suspicions.delete(host);
		},
		shortenTimeout(host, timeout) {
			const known = suspicions.get(host);
			if (known !== undefined) {
				known.timeout = Math.min(known.timeout, timeout);
			}
		},
		postpone(by) {
			for (const suspicion of suspicions.values()) {
				suspicion.since += by;
			}
		},
		getExpired: (now, factor) => [...suspicions]
			.filter(([, {since, timeout}]) => now - since >= timeout * factor)
			.map(([host]) => host),
	};
};
