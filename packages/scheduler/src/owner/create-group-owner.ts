import type {Cancel} from '@gentianlift/clock';
import {getGroups, type Suspects} from '@gentianlift/policy';
import type {
	CacheEvent, ConfigurationVersion, GrantResponse, GrantRequest, GroupId, HostId, EngineLoadReport, Milliseconds, UpstreamAvailability, UpstreamId, UpstreamObservation,
} from '@gentianlift/types';
import {countMessage} from '../count-message.js';
import {recordCrash} from './commands/crash.js';
import {flushOutbox, type DecisionSender} from './commands/flush-outbox.js';
import {handleMessage} from './commands/handle-message.js';
import {grantFreeSlots, runPass} from './commands/run-pass.js';
import type {GroupOwner, GroupOwnerOptions} from './group-owner.js';
import {GroupStates} from './group-states.js';
import {mergeSuspects} from './queries/merge-suspects.js';
import {getGroupOverview, type GroupOverview} from './queries/overview.js';
import type {GroupState, OwnerContext} from './state.js';
import {createUpstreamRegistry, type UpstreamRegistry} from './upstream-registry.js';

/** Interval between the scheduling passes of an owner over its groups. */
export const passInterval: Milliseconds = 100;

/** Creates the owner of this host's groups. */
export const createGroupOwner = (options: GroupOwnerOptions): GroupOwner => new LocalOwner(options);

class LocalOwner implements GroupOwner {
	readonly #options: GroupOwnerOptions;
	readonly #push: DecisionSender;
	readonly #context: OwnerContext;
	readonly #registry: UpstreamRegistry;
	readonly #states: GroupStates;
	readonly #cancel: Cancel;

	constructor(options: GroupOwnerOptions) {
		const {every} = options.clock;
		this.#options = options;
		this.#push = createCountingSender(options);
		this.#context = createContext(options);
		this.#registry = createUpstreamRegistry(options.clock);
		this.#states = new GroupStates(this.#context, this.#registry);
		this.#cancel = every(passInterval, () => {
			this.#runPasses();
		});
	}

	readonly handle = (from: HostId, message: GrantRequest): GrantResponse => {
		const {group} = message;
		const state = this.#isOwned(group) ? this.#states.getOwned(group) : undefined;
		return this.#answer(state, from, message);
	};

	readonly handleDegraded = (message: GrantRequest): GrantResponse => {
		const slotFraction = 1 / Math.max(1, this.#options.getHosts().length);
		const state = this.#states.getDegraded(message.group, slotFraction);
		return this.#answer(state, this.#options.self, message);
	};

	readonly applyConfiguration = ({configuration}: ConfigurationVersion): void => {
		this.#context.tiers = configuration.rules.tiers;
		this.#states.configure(getGroups(configuration));
	};

	readonly applyLoadReport = (upstream: UpstreamId, report: EngineLoadReport): void => {
		this.#registry.applyLoadReport(upstream, report, this.#states.getUpstreamStates(upstream));
		this.#grantFreeSlots();
	};

	readonly applyAvailability = (upstream: UpstreamId, availability: UpstreamAvailability): void => {
		this.#registry.applyAvailability(upstream, availability, this.#states.getUpstreamStates(upstream));
		this.#grantFreeSlots();
	};

	readonly applyCacheEvents = (upstream: UpstreamId, events: readonly CacheEvent[]): void => {
		this.#registry.applyCacheEvents(events, this.#states.getUpstreamStates(upstream));
	};

	readonly applyObservation = ({upstream, kind}: UpstreamObservation): void => {
		if (kind === 'leaving') {
			this.applyAvailability(upstream, 'leaving');
		}

		for (const state of kind === 'crashed' ? this.#states.getAll() : []) {
			recordCrash(state, upstream);
		}
	};

	readonly getSuspects = (): Suspects => this.#context.suspects;

	readonly mergeSuspects = (suspects: Suspects): void => {
		this.#context.suspects = mergeSuspects(this.#context.suspects, suspects);
	};

	readonly getOverview = (): GroupOverview[] => this.#states.getAllOwned().map(state => getGroupOverview(state));

	readonly stop = (): void => {
		this.#cancel();
	};

	#isOwned(group: GroupId): boolean {
		return this.#options.getOwnerOf(group) === this.#options.self;
	}

	/** Handles a batch for a group; without a state of the group, answers that this host isn't its owner. */
	#answer(state: GroupState | undefined, from: HostId, message: GrantRequest): GrantResponse {
		return state === undefined ? {owner: false, group: message.group, decisions: []} : handleMessage(state, from, message, this.#push);
	}

	#grantFreeSlots(): void {
		for (const state of this.#states.getAll()) {
			grantFreeSlots(state);
			flushOutbox(state, this.#push);
		}
	}

	#runPasses(): void {
		this.#states.removeUnused(group => this.#isOwned(group));
		for (const state of this.#states.getAll()) {
			runPass(state);
			flushOutbox(state, this.#push);
		}
	}
}

/** Returns a sender that counts the messages to other hosts. */
const createCountingSender = (options: GroupOwnerOptions): DecisionSender => (host, message) => {
	if (host !== options.self) {
		countMessage(options.metrics, 'push', message);
	}

	options.push(host, message);
};

const createContext = ({clock, random, metrics, disabledMechanisms, getHosts}: GroupOwnerOptions): OwnerContext => ({
	clock,
	random,
	metrics,
	getZone: host => getHosts().find(item => item.host === host)?.zone,
	disabledMechanisms: new Set(disabledMechanisms),
	tiers: [],
	suspects: new Map(),
});
