import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import {type Group, getGroups, type Suspects} from '@gentianlift/policy';
import type {
	CacheEvent, ConfigurationVersion, GrantAnswer, GrantRequest, GroupId, HostId, LoadReport, Milliseconds, UpstreamId, UpstreamSighting, Zone,
} from '@gentianlift/types';
import {countMessage} from '../count-message.js';
import {recordCrash} from './commands/crash.js';
import {send} from './commands/entries.js';
import {applyMessage} from './commands/messages.js';
import {kick, review, reviewSoon} from './commands/review.js';
import {createGroup, updateGroup} from './create-group.js';
import {getInOrder, getWaits} from './queries/waits.js';
import {getGroupOverview, type GroupOverview} from './queries/overview.js';
import type {
	GroupState, Mechanism, OwnerContext, Standing, UpstreamState,
} from './state.js';
import {createUpstreamNews, type UpstreamNews} from './upstream-news.js';

/** Interval at which an owner looks through its groups. */
export const reviewInterval: Milliseconds = 100;

/** Part of its time that a request's expected wait must take for its host to be told. */
const toldWait = 0.5;

/** What an owner of groups needs. */
export type GroupOwnerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	/** Live hosts, this one included. */
	getHosts: () => ReadonlyArray<{host: HostId; zone: Zone}>;
	/** Host that owns a group by this host's view. */
	getOwnerOf: (group: GroupId) => HostId | undefined;
	/** Sends decisions to a host, this one included. */
	push: (host: HostId, answer: GrantAnswer) => void;
	without?: readonly Mechanism[];
};

/** Orders the work of the groups that this host owns, and on its own share of slots that of groups whose owner can't be reached. */
export type GroupOwner = {
	/** Answers a batch of a host. */
	handle: (from: HostId, message: GrantRequest) => GrantAnswer;
	/** Answers this host's own batch for a group whose owner can't be reached. */
	handleAlone: (message: GrantRequest) => GrantAnswer;
	applyConfiguration: (version: ConfigurationVersion) => void;
	applyLoadReport: (upstream: UpstreamId, report: LoadReport) => void;
	applySighting: (sighting: UpstreamSighting) => void;
	applyStanding: (upstream: UpstreamId, standing: Standing) => void;
	applyCacheEvents: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
	/** Requests suspected of crashing upstreams, by fingerprint. */
	getSuspects: () => Suspects;
	/** Takes in suspects that other hosts found. */
	applySuspects: (suspects: Suspects) => void;
	/** Groups that this host orders now. */
	getOverview: () => GroupOverview[];
	stop: () => void;
};

/** Creates the owner of this host's groups. */
export const createGroupOwner = (options: GroupOwnerOptions): GroupOwner => new LocalOwner(options);

class LocalOwner implements GroupOwner {
	readonly #options: GroupOwnerOptions;
	readonly #context: OwnerContext;
	readonly #news: UpstreamNews;
	readonly #cancel: Cancel;
	readonly #owned = new Map<GroupId, GroupState>();
	/** Groups whose owner can't be reached, on this host's share of their slots. */
	readonly #alone = new Map<GroupId, GroupState>();
	#groups = new Map<GroupId, Group>();

	constructor(options: GroupOwnerOptions) {
		const {every} = options.clock;
		this.#options = {
			...options,
			push(host, message) {
				if (host !== options.self) {
					countMessage(options.metrics, 'push', message);
				}

				options.push(host, message);
			},
		};
		this.#context = createContext(options);
		this.#news = createUpstreamNews(options.clock);
		this.#cancel = every(reviewInterval, () => {
			this.#reviewAll();
		});
	}

	readonly handle = (from: HostId, message: GrantRequest): GrantAnswer => {
		const {group} = message;
		const state = this.#isOwned(group) ? this.#getState(this.#owned, group, 1) : undefined;
		return state === undefined ? {owner: false, group, decisions: []} : answer(state, from, message, this.#options.push);
	};

	readonly handleAlone = (message: GrantRequest): GrantAnswer => {
		const {group} = message;
		const share = 1 / Math.max(1, this.#options.getHosts().length);
		const state = this.#getState(this.#alone, group, share);
		return state === undefined ? {owner: false, group, decisions: []} : answer(state, this.#options.self, message, this.#options.push);
	};

	readonly applyConfiguration = ({configuration}: ConfigurationVersion): void => {
		this.#context.tiers = configuration.rules.tiers;
		this.#groups = new Map(getGroups(configuration).map(group => [group.id, group]));
		for (const state of this.#getAll()) {
			updateGroup(state, this.#groups.get(state.group.id));
			this.#fill(state);
		}
	};

	readonly applyLoadReport = (upstream: UpstreamId, report: LoadReport): void => {
		this.#news.applyLoadReport(upstream, report, this.#getUpstreams(upstream));
		this.#grant();
	};

	readonly applyStanding = (upstream: UpstreamId, standing: Standing): void => {
		this.#news.applyStanding(upstream, standing, this.#getUpstreams(upstream));
		this.#grant();
	};

	readonly applyCacheEvents = (upstream: UpstreamId, events: readonly CacheEvent[]): void => {
		this.#news.applyCacheEvents(events, this.#getUpstreams(upstream));
	};

	readonly applySighting = ({upstream, kind}: UpstreamSighting): void => {
		if (kind === 'leaving') {
			this.applyStanding(upstream, 'leaving');
		}

		for (const state of kind === 'crashed' ? this.#getAll() : []) {
			recordCrash(state, upstream);
		}
	};

	readonly getSuspects = (): Suspects => this.#context.suspects;

	readonly applySuspects = (suspects: Suspects): void => {
		this.#context.suspects = mergeSuspects(this.#context.suspects, suspects);
	};

	readonly getOverview = (): GroupOverview[] => [...this.#owned.values()].map(state => getGroupOverview(state));

	readonly stop = (): void => {
		this.#cancel();
	};

	#isOwned(group: GroupId): boolean {
		return this.#options.getOwnerOf(group) === this.#options.self;
	}

	#getState(states: Map<GroupId, GroupState>, id: GroupId, share: number): GroupState | undefined {
		const group = this.#groups.get(id);
		const known = states.get(id);
		if (known !== undefined || group === undefined) {
			return known;
		}

		const state = createGroup(this.#context, group, share);
		this.#fill(state);
		states.set(id, state);
		return state;
	}

	#fill(state: GroupState): void {
		for (const upstream of state.upstreams.values()) {
			this.#news.fill(upstream);
		}
	}

	#getAll(): GroupState[] {
		return [...this.#owned.values(), ...this.#alone.values()];
	}

	#getUpstreams(id: UpstreamId): UpstreamState[] {
		return this.#getAll().flatMap(state => state.upstreams.get(id) ?? []);
	}

	#grant(): void {
		for (const state of this.#getAll()) {
			kick(state);
			flush(state, this.#options.push);
		}
	}

	#reviewAll(): void {
		drop(this.#owned, id => this.#isOwned(id) && this.#groups.has(id));
		drop(this.#alone, id => (this.#alone.get(id)?.entries.size ?? 0) > 0 && this.#groups.has(id));
		for (const state of this.#getAll()) {
			review(state);
			flush(state, this.#options.push);
		}
	}
}

const createContext = ({clock, random, metrics, without, getHosts}: GroupOwnerOptions): OwnerContext => ({
	clock,
	random,
	metrics,
	zoneOf: host => getHosts().find(item => item.host === host)?.zone,
	without: new Set(without),
	tiers: [],
	suspects: new Map(),
});

const answer = (state: GroupState, from: HostId, message: GrantRequest, push: GroupOwnerOptions['push']): GrantAnswer => {
	const wanted = applyMessage(state, message);
	reviewSoon(state);
	sendWaits(state, from, message);
	const decisions = state.outbox.get(from) ?? [];
	state.outbox.delete(from);
	flush(state, push);
	const reply: GrantAnswer = {owner: true, group: state.group.id, decisions};
	return wanted.length === 0 ? reply : {...reply, wanted};
};

/** Tells the host the expected wait of each ask that may not be granted in time. */
const sendWaits = (state: GroupState, from: HostId, {asks}: GrantRequest): void => {
	const waiting = asks.flatMap(({request}) => state.entries.get(request) ?? []).filter(entry => entry.state.kind === 'waiting');
	if (waiting.length === 0) {
		return;
	}

	const waits = getWaits(state, getInOrder(state));
	for (const entry of waiting) {
		const {request, attempt, slack} = entry.ticket;
		const expectedWait = Math.ceil(waits.get(entry) ?? 0);
		if (expectedWait > slack * toldWait) {
			send(state, from, {
				kind: 'waiting', request, attempt, expectedWait,
			});
		}
	}
};

const flush = (state: GroupState, push: GroupOwnerOptions['push']): void => {
	const messages = [...state.outbox];
	state.outbox.clear();
	for (const [host, decisions] of messages) {
		if (decisions.length > 0) {
			push(host, {owner: true, group: state.group.id, decisions});
		}
	}
};

const drop = (states: Map<GroupId, GroupState>, isKept: (id: GroupId) => boolean): void => {
	for (const [id, state] of states) {
		if (!isKept(id)) {
			states.delete(id);
			for (const entry of state.entries.values()) {
				entry.finish();
			}
		}
	}
};

const mergeSuspects = (known: Suspects, others: Suspects): Suspects => {
	const merged = new Map(known);
	for (const [fingerprint, other] of others) {
		const mine = known.get(fingerprint);
		if (mine === undefined || mine.crashes.length < other.crashes.length) {
			merged.set(fingerprint, other);
		}
	}

	return merged;
};
