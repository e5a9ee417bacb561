import type {
	Address, Milliseconds, UpstreamId, Zone,
} from '@gentianlift/types';

/** An instance of a service. Its address may later be reused by an instance of another service. */
export type Upstream = {
	id: UpstreamId;
	service: string;
	address: Address;
	zone: Zone;
	/** Whether it is draining before it stops and must get no new requests. */
	isLeaving: boolean;
	/** Maximum number of requests that it runs concurrently. */
	slots: number;
	/** Start time in milliseconds since the epoch; a new value with the same id means a new incarnation. */
	startedAt: Milliseconds;
	/** Version of its software, an opaque name; empty if its entry names none, so that it may be any. A stream can be resumed only by the version of its service that began it. */
	softwareVersion: string;
	/** Present on an upstream that may be taken away at short notice. */
	isReclaimable?: true;
};

/** Identifies one incarnation of an upstream. */
export type UpstreamKey = string;

/** Keys by upstream, cached because each decision needs those of all upstreams of a service. */
const keyCache = new WeakMap<Pick<Upstream, 'id' | 'startedAt'>, UpstreamKey>();

/** Returns the key of an upstream's incarnation. */
export const getUpstreamKey = (upstream: Pick<Upstream, 'id' | 'startedAt'>): UpstreamKey => {
	const cached = keyCache.get(upstream);
	if (cached !== undefined) {
		return cached;
	}

	const key = `${upstream.id}@${upstream.startedAt}`;
	keyCache.set(upstream, key);
	return key;
};
