import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {claimLimits, createClaimOwner, type ClaimOwner} from '@gentianlift/claims';
import {createMetrics} from '@gentianlift/metrics';
import type {ClaimOutcome, KeyValueService, WriteOutcome} from '@gentianlift/types';
import type {ClaimEvent} from './claims.js';
import type {
	ClaimRecord, Message, Reply, Settled, State,
} from './state.js';

type Swap = Parameters<KeyValueService['compareAndSwap']>[0];
type Call
	= | {kind: 'read'; resolve: (outcome: Awaited<ReturnType<KeyValueService['read']>>) => void}
		| {kind: 'write'; swap: Swap; resolve: (outcome: WriteOutcome) => void};
type StoredClaim = {request: string; givenUp?: string[]; outcome: {kind: ClaimRecord['outcome']}};
type Flight = {call: Extract<Call, {kind: 'write'}>; outcome?: WriteOutcome};
type Host = {owner: ClaimOwner; call?: Call | undefined; flight?: Flight | undefined};

/** The claims code driven by the events of the specification. */
export type Replay = {
	apply: (event: ClaimEvent, before: State, after: State) => Promise<void>;
	/** Claim of the key as the service holds it. */
	getClaim: () => ClaimRecord | undefined;
	/** Every decision that the code gave. */
	replies: Reply[];
};

const key = {customer: 'customer', key: 'key'};
const flushRounds = 5;
const longestBackoff = 1000;
const limits = {
	...claimLimits, writeInterval: 0, claimTimeout: Number.MAX_SAFE_INTEGER, settleTimeout: Number.MAX_SAFE_INTEGER,
};

const getRequestId = (attempt: number): string => `a.1.${attempt}`;

const getAttempt = (request: string): number => Number(request.split('.').at(-1));

const outcomeOfSettled = {
	finished: {kind: 'finished', status: 200}, 'not-run': {kind: 'not-run'}, unknown: {kind: 'unknown', reason: 'cut'},
} as const satisfies Record<Settled, ClaimOutcome>;

/** Creates the code of two hosts on a service that answers when the specification says so. */
export const createReplay = (): Replay => {
	const clock: ManualClock = createManualClock();
	const store = {revision: 0, value: undefined as string | undefined};
	const flights = new Map<number, Flight>();
	const replies: Reply[] = [];
	let view: State | undefined;

	const flush = async (): Promise<void> => {
		for (let round = 0; round < flushRounds; round++) {
			// eslint-disable-next-line no-await-in-loop -- Each round lets promises settle.
			await clock.advance(0);
		}
	};

	const createHost = (): Host => {
		const host: Partial<Host> = {};
		const keyValue = {
			read: async () => new Promise(resolve => {
				host.call = {kind: 'read', resolve};
			}),
			compareAndSwap: async (swap: Swap) => new Promise(resolve => {
				host.call = {kind: 'write', swap, resolve};
			}),
		} as unknown as KeyValueService;
		host.owner = createClaimOwner({
			clock, random: createRandom(1), metrics: createMetrics(), keyValue, limits,
			isGone: (name, run) => (view?.crashes[Number(name)] ?? 0) >= run,
		});
		return host as Host;
	};

	const hosts = [createHost(), createHost()];

	const deliver = ({to, operation}: Message, {attempts}: State): void => {
		const host = hosts[to]!;
		const request = getRequestId(operation.attempt);
		if (operation.kind === 'settle') {
			void host.owner.settle('', {key, request, outcome: outcomeOfSettled[operation.outcome]});
			return;
		}

		const {host: name, run} = attempts[operation.attempt]!;
		void (async () => {
			const decision = await host.owner.claim('', {
				key, digest: 'digest', request, host: String(name), incarnation: run,
			});
			if (decision.kind === 'start' || decision.kind === 'in-progress' || decision.kind === 'done' || decision.kind === 'unknown') {
				replies.push({attempt: operation.attempt, decision: decision.kind});
			}
		})();
	};

	/** Answers a read, or rejects a write from an old state. */
	const answerCall = async (host: Host, call: Call): Promise<void> => {
		const {revision, value} = store;
		host.call = undefined;
		if (call.kind === 'read') {
			call.resolve(value === undefined ? {kind: 'absent'} : {kind: 'found', entry: {key: '', value, revision}});
		} else {
			call.resolve({kind: 'rejected', revision});
		}

		await clock.advance(longestBackoff);
	};

	const isCurrentWrite = (call: Call): boolean => call.kind === 'write' && call.swap.expected === store.revision;

	/** Takes one step of the writer: the code may have answered already from an outcome that is final. */
	const step = async (host: Host, id: number | undefined): Promise<void> => {
		for (let {call} = host; call !== undefined && !isCurrentWrite(call); call = host.call) {
			// eslint-disable-next-line no-await-in-loop -- The code answers a call with the next one.
			await answerCall(host, call);
		}

		const {call} = host;
		if (id === undefined || call?.kind !== 'write') {
			if (id !== undefined) {
				throw new Error('the code does not write where the specification does');
			}

			return;
		}

		host.call = undefined;
		host.flight = {call};
		flights.set(id, host.flight);
	};

	const land = (id: number): void => {
		const flight = flights.get(id)!;
		const {expected, value} = flight.call.swap;
		if (expected !== store.revision) {
			flight.outcome = {kind: 'rejected', revision: store.revision};
			return;
		}

		store.revision++;
		store.value = value;
		flight.outcome = {kind: 'applied', revision: store.revision};
	};

	const reply = async (host: Host, outcome: WriteOutcome): Promise<void> => {
		host.flight!.call.resolve(outcome);
		host.flight = undefined;
		await clock.advance(longestBackoff);
	};

	return {
		replies,
		async apply(event, before, after) {
			view = after;
			switch (event.type) {
				case 'deliver': {
					deliver(event.message, before);
					break;
				}

				case 'step': {
					await step(hosts[event.host]!, after.writers[event.host]!.writing);
					break;
				}

				case 'land': {
					land(event.write);
					break;
				}

				case 'reply': {
					const host = hosts[event.host]!;
					await reply(host, host.flight!.outcome ?? {kind: 'rejected', revision: store.revision});
					break;
				}

				case 'lose-reply': {
					await reply(hosts[event.host]!, {kind: 'unknown', reason: 'lost'});
					break;
				}

				case 'crash': {
					hosts[event.host] = createHost();
					break;
				}

				case 'drop': {
					throw new Error('a replay has no time limits');
				}

				case 'ask':
				case 'ask-alone':
				case 'give-up':
				case 'receive':
				case 'refuse':
				case 'finish':
				case 'cut': {
					break;
				}
			}

			await flush();
		},
		getClaim() {
			if (store.value === undefined) {
				return undefined;
			}

			const {claims} = JSON.parse(store.value) as {claims: Record<string, StoredClaim>};
			const [claim] = Object.values(claims);
			return claim === undefined
				? undefined
				: {
					attempt: getAttempt(claim.request),
					outcome: claim.outcome.kind,
					givenUp: (claim.givenUp ?? []).map(request => getAttempt(request)).toSorted((left, right) => left - right),
				};
		},
	};
};
