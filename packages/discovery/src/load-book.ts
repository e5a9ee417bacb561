import type {UpstreamKey, UpstreamLoad} from '@gentianlift/routing';
import type {HostId, Incarnation, Milliseconds} from '@gentianlift/types';

/** Load of one upstream as one host causes it. */
export type LoadShare = UpstreamLoad & {upstream: UpstreamKey};

/** Work at each upstream, by host. */
export type LoadBook = {
	/** Adds to what this host causes. */
	addOwn: (upstream: UpstreamKey, change: UpstreamLoad) => void;
	getOwn: () => LoadShare[];
	/** Takes in what another host causes; `shares` replace those known of the same upstreams. */
	setOther: (host: HostId, incarnation: Incarnation, shares: readonly LoadShare[], now: Milliseconds) => void;
	/** Forgets hosts that were not heard for a while. */
	dropSilent: (now: Milliseconds) => void;
	/** Sum over all hosts. */
	getTotal: (upstream: UpstreamKey) => UpstreamLoad;
	/** Forgets an upstream that is gone. */
	dropUpstream: (upstream: UpstreamKey) => void;
};

type OtherHost = {incarnation: Incarnation; heardAt: Milliseconds; shares: Map<UpstreamKey, UpstreamLoad>};

/** Silence after which the load that a host told no longer counts. */
const longestSilence: Milliseconds = 2000;
const noLoad: UpstreamLoad = {running: 0, unreadTokens: 0, urgent: 0};

const addLoads = (one: UpstreamLoad, other: UpstreamLoad): UpstreamLoad => ({
	running: one.running + other.running,
	unreadTokens: one.unreadTokens + other.unreadTokens,
	urgent: one.urgent + other.urgent,
});

/** Creates an empty book. */
export const createLoadBook = (): LoadBook => {
	const own = new Map<UpstreamKey, UpstreamLoad>();
	const others = new Map<HostId, OtherHost>();

	return {
		addOwn(upstream, change) {
			own.set(upstream, addLoads(own.get(upstream) ?? noLoad, change));
		},
		getOwn: () => [...own].map(([upstream, load]) => ({upstream, ...load})),
		setOther(host, incarnation, shares, now) {
			const known = others.get(host);
			const record = known?.incarnation === incarnation ? known : {incarnation, heardAt: now, shares: new Map<UpstreamKey, UpstreamLoad>()};
			record.heardAt = now;
			for (const {upstream, ...load} of shares) {
				record.shares.set(upstream, load);
			}

			others.set(host, record);
		},
		dropSilent(now) {
			for (const [host, {heardAt}] of others) {
				if (now - heardAt > longestSilence) {
					others.delete(host);
				}
			}
		},
		getTotal(upstream) {
			let total = own.get(upstream) ?? noLoad;
			for (const {shares} of others.values()) {
				const share = shares.get(upstream);
				total = share === undefined ? total : addLoads(total, share);
			}

			return total;
		},
		dropUpstream(upstream) {
			own.delete(upstream);
			for (const {shares} of others.values()) {
				shares.delete(upstream);
			}
		},
	};
};
