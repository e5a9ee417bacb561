import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {claimLimits, createClaimStore, type ClaimStore} from '@gentianlift/claims';
import {createMetrics} from '@gentianlift/metrics';
import type {
	ClaimOutcome, CompareAndSwap, KeyValueService, WriteOutcome,
} from '@gentianlift/types';
import type {ClaimEvent} from './specification.js';
import type {
	ClaimRecord, Message, Reply, SettledOutcome, State,
} from './state.js';

/** A call to the key-value service that no event of the trace has answered yet. */
type PendingCall
	= | {kind: 'read'; resolve: (outcome: Awaited<ReturnType<KeyValueService['read']>>) => void}
		| {kind: 'write'; swap: CompareAndSwap; resolve: (outcome: WriteOutcome) => void};
type StoredClaim = {request: string; givenUp?: string[]; outcome: {kind: ClaimRecord['outcome']}};
type InFlightWrite = {call: Extract<PendingCall, {kind: 'write'}>; outcome?: WriteOutcome};
type Host = {owner: ClaimStore; call?: PendingCall | undefined; inFlightWrite?: InFlightWrite | undefined};

/** The code of the claims package, driven by the events of a trace. */
export type Replay = {
	apply: (event: ClaimEvent, before: State, after: State) => Promise<void>;
	/** Returns the claim of the key that the key-value service stores. */
	getClaim: () => ClaimRecord | undefined;
	/** All decisions that the code has returned. */
	replies: Reply[];
};

const key = {customer: 'customer', key: 'key'};
const flushRounds = 5;
/** Longest backoff of the claims package in milliseconds; advancing the clock by it starts any pending retry. */
const maxBackoff = 1000;
const limits = {
	...claimLimits, minWriteInterval: 0, claimTimeout: Number.MAX_SAFE_INTEGER, settleTimeout: Number.MAX_SAFE_INTEGER,
};

const getRequestId = (attempt: number): string => `a.1.${attempt}`;

const getAttempt = (request: string): number => Number(request.split('.').at(-1));

const claimOutcomes = {
	finished: {kind: 'finished', status: 200}, 'not-run': {kind: 'not-run'}, unknown: {kind: 'unknown', reason: 'cut'},
} as const satisfies Record<SettledOutcome, ClaimOutcome>;

/** Creates the claim stores of two hosts, on a fake key-value service that answers when an event of the trace says so. */
export const createReplay = (): Replay => {
	const clock: ManualClock = createManualClock();
	const storedSlot = {revision: 0, value: undefined as string | undefined};
	const inFlightWrites = new Map<number, InFlightWrite>();
	const replies: Reply[] = [];
	let currentState: State | undefined;

	const flushPromises = async (): Promise<void> => {
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
			compareAndSwap: async (swap: CompareAndSwap) => new Promise(resolve => {
				host.call = {kind: 'write', swap, resolve};
			}),
		} as unknown as KeyValueService;
		host.owner = createClaimStore({
			clock, random: createRandom(1), metrics: createMetrics(), keyValue, limits,
			isGone: (name, incarnation) => (currentState?.crashes[Number(name)] ?? 0) >= incarnation,
		});
		return host as Host;
	};

	const hosts = [createHost(), createHost()];

	const deliver = ({to, operation}: Message, {attempts}: State): void => {
		const host = hosts[to]!;
		const request = getRequestId(operation.attempt);
		if (operation.kind === 'settle') {
			void host.owner.settle('', {key, request, outcome: claimOutcomes[operation.outcome]});
			return;
		}

		const {host: name, incarnation} = attempts[operation.attempt]!;
		void (async () => {
			const decision = await host.owner.claim('', {
				key, digest: 'digest', request, host: String(name), incarnation,
			});
			if (decision.kind === 'start' || decision.kind === 'in-progress' || decision.kind === 'done' || decision.kind === 'unknown') {
				replies.push({attempt: operation.attempt, decision: decision.kind});
			}
		})();
	};

	/** Answers a read, or rejects a write that expects an older revision. */
	const answerCall = async (host: Host, call: PendingCall): Promise<void> => {
		const {revision, value} = storedSlot;
		host.call = undefined;
		if (call.kind === 'read') {
			call.resolve(value === undefined ? {kind: 'absent'} : {kind: 'found', entry: {key: '', value, revision}});
		} else {
			call.resolve({kind: 'rejected', revision});
		}

		await clock.advance(maxBackoff);
	};

	const isCurrentWrite = (call: PendingCall): boolean => call.kind === 'write' && call.swap.expected === storedSlot.revision;

	/** Lets the writer of a host run up to its next write. The code may need no write, as it answers at once if it knows a final outcome. */
	const step = async (host: Host, id: number | undefined): Promise<void> => {
		for (let {call} = host; call !== undefined && !isCurrentWrite(call); call = host.call) {
			// eslint-disable-next-line no-await-in-loop -- The code answers a call with the next one.
			await answerCall(host, call);
		}

		const {call} = host;
		if (id === undefined || call?.kind !== 'write') {
			if (id !== undefined) {
				throw new Error('the code makes no write where the specification makes one');
			}

			return;
		}

		host.call = undefined;
		host.inFlightWrite = {call};
		inFlightWrites.set(id, host.inFlightWrite);
	};

	const land = (id: number): void => {
		const write = inFlightWrites.get(id)!;
		const {expected, value} = write.call.swap;
		if (expected !== storedSlot.revision) {
			write.outcome = {kind: 'rejected', revision: storedSlot.revision};
			return;
		}

		storedSlot.revision++;
		storedSlot.value = value;
		write.outcome = {kind: 'applied', revision: storedSlot.revision};
	};

	const reply = async (host: Host, outcome: WriteOutcome): Promise<void> => {
		host.inFlightWrite!.call.resolve(outcome);
		host.inFlightWrite = undefined;
		await clock.advance(maxBackoff);
	};

	return {
		replies,
		async apply(event, before, after) {
			currentState = after;
			switch (event.type) {
				case 'deliver': {
					deliver(event.message, before);
					break;
				}

				case 'step': {
					await step(hosts[event.host]!, after.writers[event.host]!.writeId);
					break;
				}

				case 'land': {
					land(event.write);
					break;
				}

				case 'reply': {
					const host = hosts[event.host]!;
					await reply(host, host.inFlightWrite!.outcome ?? {kind: 'rejected', revision: storedSlot.revision});
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
					throw new Error('a replay has no timeouts, so it cannot drop a batch');
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

			await flushPromises();
		},
		getClaim() {
			if (storedSlot.value === undefined) {
				return undefined;
			}

			const {claims} = JSON.parse(storedSlot.value) as {claims: Record<string, StoredClaim>};
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
