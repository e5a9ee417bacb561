import type {UpstreamKey, UpstreamLoad} from '@gentianlift/routing';
import type {HostId, Incarnation, Milliseconds} from '@gentianlift/types';

/** Work that one host causes at an upstream, or a change of it. */
export type CausedLoad = Omit<UpstreamLoad, 'progressAt'>;

/** Load of one upstream as one host causes it. */
export type LoadShare = CausedLoad & {upstream: UpstreamKey};

/** Work at each upstream, by host. */
export type LoadBook = {
	/** Adds to what this host causes. */
	addOwn: (upstream: UpstreamKey, change: CausedLoad, now: Milliseconds) => void;
	getOwn: () => LoadShare[];
	/** Takes in what another host causes; `shares` replace those known of the same upstreams. */
	setOther: (host: HostId, incarnation: Incarnation, shares: readonly LoadShare[], now: Milliseconds) => void;
	/** Forgets hosts that were not heard for a while. */
	dropSilent: (now: Milliseconds) => void;
	/** Prompt tokens of this host's requests that wait for the upstream. */
	getOwnAwaited: (upstream: UpstreamKey) => number;
	/** Sum over all hosts. */
	getTotal: (upstream: UpstreamKey) => UpstreamLoad;
	/** Forgets an upstream that is gone. */
	dropUpstream: (upstream: UpstreamKey) => void;
};

type OtherHost = {incarnation: Incarnation; heardAt: Milliseconds; shares: Map<UpstreamKey, CausedLoad>};

/** Silence after which the load that a host told no longer counts. */
const longestSilence: Milliseconds = 2000;
const noLoad: CausedLoad = {
	running: 0, unreadTokens: 0, delicate: 0, awaitedTokens: 0,
};
const noTotal: UpstreamLoad = {...noLoad, progressAt: 0};

const addLoads = (one: CausedLoad, other: CausedLoad, sign: 1 | -1 = 1): CausedLoad => ({
	running: one.running + (sign * other.running),
	unreadTokens: one.unreadTokens + (sign * other.unreadTokens),
	delicate: one.delicate + (sign * other.delicate),
	awaitedTokens: one.awaitedTokens + (sign * other.awaitedTokens),
});

/** A request may end after its upstream was forgotten. */
const getClamped = ({
	running, unreadTokens, delicate, awaitedTokens,
}: CausedLoad): CausedLoad => ({
	running: Math.max(0, running),
	unreadTokens: Math.max(0, unreadTokens),
	delicate: Math.max(0, delicate),
	awaitedTokens: Math.max(0, awaitedTokens),
});

/** Creates an empty book. */
export const createLoadBook = (): LoadBook => {
	const own = new Map<UpstreamKey, CausedLoad>();
	const others = new Map<HostId, OtherHost>();
	const totals = new Map<UpstreamKey, UpstreamLoad>();

	const changeTotal = (upstream: UpstreamKey, before: CausedLoad, after: CausedLoad, now: Milliseconds): void => {
		const known = totals.get(upstream) ?? noTotal;
		const next = addLoads(addLoads(known, after), before, -1);
		// Fewer unread tokens mean that a prompt was read; the first ones that reading starts.
		const hasProgress = after.unreadTokens < before.unreadTokens || known.unreadTokens === 0;
		totals.set(upstream, {...next, progressAt: hasProgress ? now : known.progressAt});
	};

	const forget = ({shares}: OtherHost, now: Milliseconds): void => {
		for (const [upstream, load] of shares) {
			changeTotal(upstream, load, noLoad, now);
		}
	};

	return {
		addOwn(upstream, change, now) {
			const before = own.get(upstream) ?? noLoad;
			const after = getClamped(addLoads(before, change));
			own.set(upstream, after);
			changeTotal(upstream, before, after, now);
		},
		getOwn: () => [...own].map(([upstream, load]) => ({upstream, ...load})),
		setOther(host, incarnation, shares, now) {
			const known = others.get(host);
			if (known !== undefined && known.incarnation !== incarnation) {
				forget(known, now);
			}

			const record = known?.incarnation === incarnation ? known : {incarnation, heardAt: now, shares: new Map<UpstreamKey, CausedLoad>()};
			record.heardAt = now;
			for (const {upstream, ...load} of shares) {
				changeTotal(upstream, record.shares.get(upstream) ?? noLoad, load, now);
				record.shares.set(upstream, load);
			}

			others.set(host, record);
		},
		dropSilent(now) {
			for (const [host, record] of others) {
				if (now - record.heardAt > longestSilence) {
					forget(record, now);
					others.delete(host);
				}
			}
		},
		getOwnAwaited: upstream => own.get(upstream)?.awaitedTokens ?? 0,
		getTotal: upstream => totals.get(upstream) ?? noTotal,
		dropUpstream(upstream) {
			own.delete(upstream);
			totals.delete(upstream);
			for (const {shares} of others.values()) {
				shares.delete(upstream);
			}
		},
	};
};
