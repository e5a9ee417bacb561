import type {HostId, Milliseconds} from '@gentianlift/types';

/** Hosts under suspicion and when each counts as gone. */
export type Suspicions = {
	/** Starts the time of a host, unless it runs already. */
	start: (host: HostId, now: Milliseconds, timeout: Milliseconds) => void;
	end: (host: HostId) => void;
	/** Brings a host's end forward, on other evidence against it. */
	shorten: (host: HostId, timeout: Milliseconds) => void;
	/** Moves all ends back, after a pause of this process. */
	postpone: (by: Milliseconds) => void;
	/** Hosts whose time is over; `factor` stretches it. */
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
		end(host) {
			suspicions.delete(host);
		},
		shorten(host, timeout) {
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
