import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {Entry, KeyValueService, Milliseconds} from '@gentianlift/types';
import {createDuties, type DutiesOptions} from './duties.js';
import type {Duties, DutySettings, DutySubject} from './duty.js';
import type {DutyOutcome, FencedCall, OperatorsService} from './operators-service.js';
import {dutyPrefix} from './subject-key.js';
import {createHostClock, type HostClock} from './testing-host-clock.js';

/** A call that the operators' service has got. */
export type Arrival = {machine: string; token: number; at: Milliseconds};

/** State of a host's links. */
export type Links = {isStoreCut: boolean; isServiceCut: boolean; isServiceMute: boolean; losesAnswers: boolean; isLate: boolean; storeDelay: Milliseconds; serviceDelay: Milliseconds};

/** A process on a machine. */
export type Process = {machine: string; clock: HostClock; links: Links; duties: Duties; metrics: Metrics};

/** Minimum time between calls of one host with those of another in between. */
export const holderSeparation: Milliseconds = 3000;
const usage: DutySubject = {duty: 'usage'};
const storeTimeout: Milliseconds = 700;
const serviceTimeout: Milliseconds = 1000;
/** Time until a call that the store has not answered takes effect. */
const lateBy: Milliseconds = 2500;
const feedInterval: Milliseconds = 50;
const callInterval: Milliseconds = 100;
const settings: DutySettings = {
	address: '', names: ['usage'], callsPerSecond: 100, holderSeparation, usageWindow: 5000, usageDelay: 10_000,
};

/** Links without faults. */
export const goodLinks: Readonly<Links> = {
	isStoreCut: false, isServiceCut: false, isServiceMute: false, losesAnswers: false, isLate: false, storeDelay: 4, serviceDelay: 4,
};

type Unanswered = {kind: 'unknown'; reason: string};

/** Makes a call of the store over a host's link. */
const callStore = async <Outcome>(call: () => Promise<Outcome>, {clock, links}: Pick<Process, 'clock' | 'links'>, shared: ManualClock): Promise<Outcome | Unanswered> => {
	const unanswered: Unanswered = {kind: 'unknown', reason: 'timeout'};
	if (links.isStoreCut || links.isLate) {
		if (links.isLate) {
			shared.after(lateBy, () => {
				void call();
			});
		}

		await clock.sleep(storeTimeout);
		return unanswered;
	}

	await shared.sleep(links.storeDelay);
	const outcome = await call();
	await shared.sleep(links.storeDelay);
	await clock.whenRunning();
	return links.losesAnswers ? unanswered : outcome;
};

const createLinkedStore = (store: KeyValueService, process: Pick<Process, 'clock' | 'links'>, shared: ManualClock): DutiesOptions['store'] => ({
	compareAndSwap: async write => callStore(async () => store.compareAndSwap(write), process, shared),
	grantLease: async duration => callStore(async () => store.grantLease(duration), process, shared),
	renewLease: async lease => callStore(async () => store.renewLease(lease), process, shared),
	endLease: async lease => callStore(async () => store.endLease(lease), process, shared),
});

type Sender = Omit<Process, 'duties' | 'metrics'>;
type Receiver = Pick<TestFleet, 'clock' | 'arrivals'>;

/** Sends a call to the operators' service; one that is ended before it arrives never does. */
const callService = async ({token, signal}: FencedCall, {machine, clock, links}: Sender, {clock: shared, arrivals}: Receiver): Promise<DutyOutcome> => new Promise(resolve => {
	const end = (outcome: DutyOutcome): void => {
		cancel();
		resolve(outcome);
	};

	let isEnded = false;
	const cancel = clock.after(serviceTimeout, () => {
		isEnded = true;
		end({kind: 'unknown', reason: 'timeout'});
	});
	signal.addEventListener('abort', () => {
		isEnded = true;
		end({kind: 'unknown', reason: 'aborted'});
	});
	if (links.isServiceCut) {
		return;
	}

	shared.after(links.serviceDelay, () => {
		if (!isEnded) {
			arrivals.push({machine, token, at: shared.now()});
			void clock.whenRunning().then(() => {
				if (!links.isServiceMute) {
					end({kind: 'accepted'});
				}
			});
		}
	});
});

/** A fleet of hosts with the duty to report usage; each tries to call every 100 ms. */
export type TestFleet = {
	clock: ManualClock;
	store: MemoryKeyValue;
	arrivals: Arrival[];
	processes: Process[];
	/** Starts a process on a machine, after ending the one that runs there. */
	start: (machine: string) => Process;
	/** Ends a process without a word. */
	kill: (process: Process) => void;
	getHolder: () => Process | undefined;
};

const createProcess = (machine: string, {clock: shared, store, arrivals, processes}: Omit<TestFleet, 'start' | 'kill' | 'getHolder'>): Process => {
	const clock = createHostClock(shared);
	const links = {...goodLinks};
	const parts = {machine, clock, links};
	let entries = new Map<string, Entry>();
	let revision = 0;
	const {every} = clock;
	every(feedInterval, () => {
		if (!links.isStoreCut) {
			const known = store.peek(`${dutyPrefix}usage`);
			entries = new Map(known === undefined ? [] : [[known.key, known]]);
			revision = store.getAppliedWrites().length + 1;
		}
	});
	const call = async (fenced: FencedCall) => callService(fenced, parts, {clock: shared, arrivals});
	const service: OperatorsService = {timeout: serviceTimeout, reportUsage: async (_, fenced) => call(fenced), orderCapacity: async (_, fenced) => call(fenced)};
	const metrics = createMetrics();
	const duties = createDuties({
		self: {host: machine, incarnation: shared.now()},
		settings,
		service,
		store: createLinkedStore(store, parts, shared),
		view: {getEntry: key => entries.get(key), getRevision: () => revision, chooseHosts: (_, count) => processes.map(process => process.machine).toSorted().slice(0, count)},
		getSubjects: () => [usage],
		clock,
		logger: createLogger('error', () => undefined),
		metrics,
		onFailure(error) {
			throw error;
		},
	});
	every(callInterval, () => {
		if (duties.isHeld(usage)) {
			void duties.reportUsage({window: 1, counts: {}});
		}
	});
	return {...parts, duties, metrics};
};

/** Creates a fleet without processes. */
export const createTestFleet = (): TestFleet => {
	const clock = createManualClock();
	const store = createMemoryKeyValue({clock, random: createRandom(1)});
	const arrivals: Arrival[] = [];
	const processes: Process[] = [];
	const kill = (process: Process): void => {
		process.clock.end();
		processes.splice(processes.indexOf(process), 1);
	};

	return {
		clock,
		store,
		arrivals,
		processes,
		start(machine) {
			const previous = processes.find(process => process.machine === machine);
			if (previous !== undefined) {
				kill(previous);
			}

			const process = createProcess(machine, {
				clock, store, arrivals, processes,
			});
			processes.push(process);
			return process;
		},
		kill,
		getHolder: () => processes.find(({duties}) => duties.isHeld(usage)),
	};
};

/** Returns the rules that the calls break; none if they are in order. */
export const findBrokenRules = (arrivals: readonly Arrival[]): string[] => arrivals.flatMap((arrival, index) => {
	const earlier = arrivals.slice(0, index);
	const recent = earlier.filter(({at}) => arrival.at - at < holderSeparation);
	const firstOwn = recent.findIndex(({machine}) => machine === arrival.machine);
	const isShared = earlier.some(({token, machine}) => token === arrival.token && machine !== arrival.machine);
	const isLower = earlier.some(({token}) => token > arrival.token);
	const isReturned = firstOwn !== -1 && recent.slice(firstOwn).some(({machine}) => machine !== arrival.machine);
	const at = `at ${arrival.at} by ${arrival.machine}`;
	return [isShared ? `token of two holders ${at}` : [], isLower ? `lower token ${at}` : [], isReturned ? `holder returned ${at}` : []].flat();
});
