import {createManualClock, createRandom, type Random} from '@gentianlift/clock';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {HostId} from '@gentianlift/types';
import type {History} from './history.js';
import {createHost} from './host.js';
import {createUpstream} from './upstream.js';
import type {SeededFault, Simulation} from './simulation.js';

const hostIds = ['a', 'b', 'c'];
const startTime = Date.UTC(2026, 0, 1);
const bookingCount = 8;
const attemptsPerBooking = 4;
const maxStartDelayMs = 4000;
const faultDurationMs = 12_000;
const recoveryTimeMs = 40_000;
const maxRetryDelayMs = 5000;
const noFaults = {
	unreachable: 0, lost: 0, late: 0, duplicated: 0,
};
const differentBodyProbability = 0.05;
const maxGoneDelayMs = 1000;

/** Creates an idempotency key: a UUIDv7, which carries its creation time, or a text that carries none. */
const createKey = (index: number, random: Random): string => {
	const time = startTime.toString(16).padStart(12, '0');
	return random.next() < 0.5
		? `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`
		: `booking ${index}`;
};

const createSimulation = (seed: number, seededFault: SeededFault): Simulation => {
	const clock = createManualClock(startTime);
	const random = createRandom(seed);
	const events: Simulation['events'] = [];
	return {
		clock,
		random,
		keyValue: createMemoryKeyValue({clock, random}),
		upstream: createUpstream(clock, random, events),
		hosts: new Map(),
		goneIncarnations: new Set(),
		faults: {
			unreachable: random.next() * 0.1, lost: random.next() * 0.2, late: random.next() * 0.3, duplicated: random.next() * 0.3,
		},
		seededFault,
		events,
		settlements: [],
	};
};

/** Starts a host with its own view of which host owns a claim slot; the view may be wrong, and differ from call to call. */
const startHost = (simulation: Simulation, id: HostId, incarnation: number): void => {
	const wrongOwnerProbability = simulation.random.next() * 0.2;
	const getOwner = (key: string): HostId => {
		const correctOwner = hostIds[key.length % hostIds.length]!;
		return simulation.random.next() < wrongOwnerProbability ? simulation.random.pick(hostIds)! : correctOwner;
	};

	simulation.hosts.set(id, createHost(simulation, id, incarnation, getOwner));
};

const restartHost = (simulation: Simulation, id: HostId): void => {
	const host = simulation.hosts.get(id)!;
	host.processState.isAlive = false;
	simulation.clock.after(simulation.random.below(maxGoneDelayMs), () => {
		simulation.goneIncarnations.add(`${id}.${host.incarnation}`);
	});
	startHost(simulation, id, host.incarnation + 1);
};

/** Pauses a host; the others may consider it gone meanwhile. */
const pauseHost = (simulation: Simulation, id: HostId): void => {
	const {processState, incarnation} = simulation.hosts.get(id)!;
	processState.pausedUntil = simulation.clock.monotonic() + simulation.random.below(3000);
	if (simulation.random.next() < 0.5) {
		simulation.goneIncarnations.add(`${id}.${incarnation}`);
	}
};

const sendBooking = async (simulation: Simulation, booking: string): Promise<void> => {
	const {clock, random, events} = simulation;
	await clock.sleep(random.below(maxStartDelayMs));
	const host = simulation.hosts.get(random.pick(hostIds)!)!;
	const digest = random.next() < differentBodyProbability ? 'other' : 'body';
	let request = '';
	const answer = await host.book({booking, digest}, id => {
		request = id;
		events.push({
			kind: 'sent', at: clock.now(), booking, digest, request: id, host: host.id,
		});
	});
	events.push({
		kind: 'told', at: clock.now(), booking, request, answer,
	});
};

/** Sends a booking several times, some of them concurrently and some after a delay. */
const sendBookingRepeatedly = async (simulation: Simulation, booking: string): Promise<void> => {
	for (let index = 0; index < attemptsPerBooking; index++) {
		void sendBooking(simulation, booking);
		if (simulation.random.next() < 0.6) {
			// eslint-disable-next-line no-await-in-loop -- The caller waits before it sends the booking again.
			await simulation.clock.sleep(simulation.random.below(maxRetryDelayMs));
		}
	}
};

const scheduleFaults = (simulation: Simulation): void => {
	const {clock, random, keyValue} = simulation;
	const scheduleFault = (probability: number, run: () => void): void => {
		if (random.next() < probability) {
			clock.after(random.below(faultDurationMs), run);
		}
	};

	for (const id of hostIds) {
		scheduleFault(0.4, () => {
			restartHost(simulation, id);
		});
		scheduleFault(0.2, () => {
			restartHost(simulation, id);
		});
		scheduleFault(0.5, () => {
			pauseHost(simulation, id);
		});
	}

	scheduleFault(0.4, () => {
		keyValue.setFaults({outage: true});
		clock.after(random.below(5000), () => {
			keyValue.setFaults({outage: false});
		});
	});
};

/** Runs a schedule of bookings, faults and recovery that is fully determined by its seed. */
export const runSchedule = async (seed: number, seededFault: SeededFault = 'none'): Promise<History> => {
	const simulation = createSimulation(seed, seededFault);
	for (const id of hostIds) {
		startHost(simulation, id, 1);
	}

	scheduleFaults(simulation);
	for (let index = 0; index < bookingCount; index++) {
		void sendBookingRepeatedly(simulation, createKey(index, simulation.random));
	}

	await simulation.clock.advance(faultDurationMs);
	simulation.faults = noFaults;
	await simulation.clock.advance(recoveryTimeMs);
	const liveIncarnations = new Set([...simulation.hosts.values()].map(({id, incarnation}) => `${id}.${incarnation}.`));
	return {
		events: simulation.events,
		writes: simulation.keyValue.getHistory(),
		expectedSettlements: simulation.settlements.filter(({request}) => [...liveIncarnations].some(prefix => request.startsWith(prefix))),
	};
};
