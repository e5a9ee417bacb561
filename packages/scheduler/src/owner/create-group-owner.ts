import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import {type Group, getGroups, type Suspects} from '@gentianlift/policy';
import type {
	CacheEvent, ConfigurationVersion, GrantResponse, GrantRequest, GroupId, HostId, EngineLoadReport, Milliseconds, UpstreamId, UpstreamObservation, Zone,
} from '@gentianlift/types';
import {countMessage} from '../count-message.js';
import {recordCrash} from './commands/crash.js';
import {addDecision} from './commands/entries.js';
import {applyMessage} from './commands/messages.js';
import {grantFreeSlots, runPass, runPassIfDue} from './commands/run-pass.js';
import {createGroupState, updateGroupState} from './create-group-state.js';
import {getExpectedWaits, getGrantOrder} from './queries/grant-order.js';
import {getGroupOverview, type GroupOverview} from './queries/overview.js';
import type {
	GroupState, Mechanism, OwnerContext, UpstreamAvailability, UpstreamState,
} from './state.js';
import {createUpstreamRegistry, type UpstreamRegistry} from './upstream-registry.js';

/** Interval between the scheduling passes of an owner over its groups. */
export const passInterval: Milliseconds = 100;

/** Fraction of a request's slack above which its expected wait is reported to the host. */
const reportedWaitFraction = 0.5;

/** Options of an owner of groups. */
export type GroupOwnerOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: HostId;
	/** Returns the live hosts, this one included. */
	getHosts: () => ReadonlyArray<{host: HostId; zone: Zone}>;
	/** Returns the host that owns a group in this host's view. */
	getOwnerOf: (group: GroupId) => HostId | undefined;
	/** Sends decisions to a host, this one included. */
	push: (host: HostId, answer: GrantResponse) => void;
	/** Mechanisms that are switched off. */
	disabledMechanisms?: readonly Mechanism[];
};

/**
 * Grants upstream slots to the requests for the groups that this host owns.
 * It also acts for groups of other owners, in degraded mode: the group's owner can't be reached, so this host grants
 * its own share of the slots, the same for each live host, to its own requests.
 */
export type GroupOwner = {
	/** Handles a batch of a host. */
	handle: (from: HostId, message: GrantRequest) => GrantResponse;
	/** Handles this host's own batch for a group whose owner can't be reached. */
	handleDegraded: (message: GrantRequest) => GrantResponse;
	/** Applies a new configuration to all groups. */
	applyConfiguration: (version: ConfigurationVersion) => void;
	/** Records the latest load report of an upstream, and grants slots that it shows to be free. */
	applyLoadReport: (upstream: UpstreamId, report: EngineLoadReport) => void;
	/** Records that a host has seen an upstream leave or crash; other kinds have no effect here. */
	applyObservation: (observation: UpstreamObservation) => void;
	/** Records the availability of an upstream. */
	applyAvailability: (upstream: UpstreamId, availability: UpstreamAvailability) => void;
	/** Records prefixes that an upstream has stored in its cache or evicted from it. */
	applyCacheEvents: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
	/** Returns the requests suspected of crashing upstreams, by fingerprint. */
	getSuspects: () => Suspects;
	/** Merges in the suspects that other hosts found. */
	mergeSuspects: (suspects: Suspects) => void;
	/** Returns the overviews of the groups that this host owns and has state of. */
	getOverview: () => GroupOverview[];
	stop: () => void;
};

/** Creates the owner of this host's groups. */
export const createGroupOwner = (options: GroupOwnerOptions): GroupOwner => new LocalOwner(options);

class LocalOwner implements GroupOwner {
	readonly #options: GroupOwnerOptions;
	readonly #context: OwnerContext;
	readonly #registry: UpstreamRegistry;
	readonly #cancel: Cancel;
	readonly #owned = new Map<GroupId, GroupState>();
	/** Groups in degraded mode, which this host doesn't own; limited to its share of their slots. */
	readonly #degraded = new Map<GroupId, GroupState>();
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
		this.#registry = createUpstreamRegistry(options.clock);
		this.#cancel = every(passInterval, () => {
			this.#runPasses();
		});
	}

	readonly handle = (from: HostId, message: GrantRequest): GrantResponse => {
		const {group} = message;
		const state = this.#isOwned(group) ? this.#getState(this.#owned, group, 1) : undefined;
		return state === undefined ? {owner: false, group, decisions: []} : handleMessage(state, from, message, this.#options.push);
	};

	readonly handleDegraded = (message: GrantRequest): GrantResponse => {
		const {group} = message;
		const ownerSlotFraction = 1 / Math.max(1, this.#options.getHosts().length);
		const state = this.#getState(this.#degraded, group, ownerSlotFraction);
		return state === undefined ? {owner: false, group, decisions: []} : handleMessage(state, this.#options.self, message, this.#options.push);
	};

	readonly applyConfiguration = ({configuration}: ConfigurationVersion): void => {
		this.#context.tiers = configuration.rules.tiers;
		this.#groups = new Map(getGroups(configuration).map(group => [group.id, group]));
		for (const state of this.#getStates()) {
			updateGroupState(state, this.#groups.get(state.group.id));
			this.#restoreUpstreams(state);
		}
	};

	readonly applyLoadReport = (upstream: UpstreamId, report: EngineLoadReport): void => {
		this.#registry.applyLoadReport(upstream, report, this.#getUpstreamStates(upstream));
		this.#grantFreeSlots();
	};

	readonly applyAvailability = (upstream: UpstreamId, availability: UpstreamAvailability): void => {
		this.#registry.applyAvailability(upstream, availability, this.#getUpstreamStates(upstream));
		this.#grantFreeSlots();
	};

	readonly applyCacheEvents = (upstream: UpstreamId, events: readonly CacheEvent[]): void => {
		this.#registry.applyCacheEvents(events, this.#getUpstreamStates(upstream));
	};

	readonly applyObservation = ({upstream, kind}: UpstreamObservation): void => {
		if (kind === 'leaving') {
			this.applyAvailability(upstream, 'leaving');
		}

		for (const state of kind === 'crashed' ? this.#getStates() : []) {
			recordCrash(state, upstream);
		}
	};

	readonly getSuspects = (): Suspects => this.#context.suspects;

	readonly mergeSuspects = (suspects: Suspects): void => {
		this.#context.suspects = mergeSuspects(this.#context.suspects, suspects);
	};

	readonly getOverview = (): GroupOverview[] => [...this.#owned.values()].map(state => getGroupOverview(state));

	readonly stop = (): void => {
		this.#cancel();
	};

	#isOwned(group: GroupId): boolean {
		return this.#options.getOwnerOf(group) === this.#options.self;
	}

	#getState(states: Map<GroupId, GroupState>, id: GroupId, ownerSlotFraction: number): GroupState | undefined {
		const group = this.#groups.get(id);
		const known = states.get(id);
		if (known !== undefined || group === undefined) {
			return known;
		}

		const state = createGroupState(this.#context, group, ownerSlotFraction);
		this.#restoreUpstreams(state);
		states.set(id, state);
		return state;
	}

	#restoreUpstreams(state: GroupState): void {
		for (const upstream of state.upstreams.values()) {
			this.#registry.restore(upstream);
		}
	}

	#getStates(): GroupState[] {
		return [...this.#owned.values(), ...this.#degraded.values()];
	}

	#getUpstreamStates(id: UpstreamId): UpstreamState[] {
		return this.#getStates().flatMap(state => state.upstreams.get(id) ?? []);
	}

	#grantFreeSlots(): void {
		for (const state of this.#getStates()) {
			grantFreeSlots(state);
			flushOutbox(state, this.#options.push);
		}
	}

	#runPasses(): void {
		dropGroups(this.#owned, id => this.#isOwned(id) && this.#groups.has(id));
		dropGroups(this.#degraded, id => (this.#degraded.get(id)?.entries.size ?? 0) > 0 && this.#groups.has(id));
		for (const state of this.#getStates()) {
			runPass(state);
			flushOutbox(state, this.#options.push);
		}
	}
}

const createContext = ({clock, random, metrics, disabledMechanisms, getHosts}: GroupOwnerOptions): OwnerContext => ({
	clock,
	random,
	metrics,
	getZone: host => getHosts().find(item => item.host === host)?.zone,
	disabledMechanisms: new Set(disabledMechanisms),
	tiers: [],
	suspects: new Map(),
});

const handleMessage = (state: GroupState, from: HostId, message: GrantRequest, push: GroupOwnerOptions['push']): GrantResponse => {
	const wanted = applyMessage(state, message);
	runPassIfDue(state);
	addExpectedWaits(state, from, message);
	const decisions = state.outbox.get(from) ?? [];
	state.outbox.delete(from);
	flushOutbox(state, push);
	const reply: GrantResponse = {owner: true, group: state.group.id, decisions};
	return wanted.length === 0 ? reply : {...reply, wanted};
};

/** Adds the expected wait of each new ticket that may not be granted in time to the host's next message. */
const addExpectedWaits = (state: GroupState, from: HostId, {asks}: GrantRequest): void => {
	const waiting = asks.flatMap(({request}) => state.entries.get(request) ?? []).filter(entry => entry.state.kind === 'waiting');
	if (waiting.length === 0) {
		return;
	}

	const waits = getExpectedWaits(state, getGrantOrder(state));
	for (const entry of waiting) {
		const {request, attempt, slack} = entry.ticket;
		const expectedWait = Math.ceil(waits.get(entry) ?? 0);
		if (expectedWait > slack * reportedWaitFraction) {
			addDecision(state, from, {
				kind: 'waiting', request, attempt, expectedWait,
			});
		}
	}
};

const flushOutbox = (state: GroupState, push: GroupOwnerOptions['push']): void => {
	const messages = [...state.outbox];
	state.outbox.clear();
	for (const [host, decisions] of messages) {
		if (decisions.length > 0) {
			push(host, {owner: true, group: state.group.id, decisions});
		}
	}
};

const dropGroups = (states: Map<GroupId, GroupState>, isKept: (id: GroupId) => boolean): void => {
	for (const [id, state] of states) {
		if (!isKept(id)) {
			states.delete(id);
			for (const entry of state.entries.values()) {
				entry.endTask();
			}
		}
	}
};

const mergeSuspects = (known: Suspects, incoming: Suspects): Suspects => {
	const merged = new Map(known);
	for (const [fingerprint, received] of incoming) {
		const existing = known.get(fingerprint);
		if (existing === undefined || existing.crashes.length < received.crashes.length) {
			merged.set(fingerprint, received);
		}
	}

	return merged;
};
