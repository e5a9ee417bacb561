import {createManualClock, createRandom, type Random} from '@gentianlift/clock';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {HostId} from '@gentianlift/types';
import type {History} from './history.js';
import {createHost} from './host.js';
import {createUpstream} from './upstream.js';
import type {SeededFault, World} from './world.js';

const hostIds = ['a', 'b', 'c'];
const start = Date.UTC(2026, 0, 1);
const bookings = 8;
const sendsPerBooking = 4;
const sendSpread = 4000;
const duration = 12_000;
const recovery = 40_000;
const answerLimit = 5000;
const noFaults = {
	unreachable: 0, lost: 0, late: 0, doubled: 0,
};
const otherBodyChance = 0.05;
const goneDelay = 1000;

const createKey = (index: number, random: Random): string => {
	const time = start.toString(16).padStart(12, '0');
	return random.next() < 0.5
		? `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`
		: `booking ${index}`;
};

const createWorld = (seed: number, seededFault: SeededFault): World => {
	const clock = createManualClock(start);
	const random = createRandom(seed);
	const events: World['events'] = [];
	return {
		clock,
		random,
		keyValue: createMemoryKeyValue({clock, random}),
		upstream: createUpstream(clock, random, events),
		hosts: new Map(),
		gone: new Set(),
		faults: {
			unreachable: random.next() * 0.1, lost: random.next() * 0.2, late: random.next() * 0.3, doubled: random.next() * 0.3,
		},
		seededFault,
		events,
		settled: [],
	};
};

/** Each host has its own view of who owns a slot, which may be wrong. */
const startHost = (world: World, id: HostId, incarnation: number): void => {
	const wrongViews = world.random.next() * 0.2;
	const getOwner = (key: string): HostId => {
		const right = hostIds[key.length % hostIds.length]!;
		return world.random.next() < wrongViews ? world.random.pick(hostIds)! : right;
	};

	world.hosts.set(id, createHost(world, id, incarnation, getOwner));
};

const restartHost = (world: World, id: HostId): void => {
	const host = world.hosts.get(id)!;
	host.life.isAlive = false;
	world.clock.after(world.random.below(goneDelay), () => {
		world.gone.add(`${id}.${host.incarnation}`);
	});
	startHost(world, id, host.incarnation + 1);
};

/** A paused host may be taken for gone by the others. */
const pauseHost = (world: World, id: HostId): void => {
	const {life, incarnation} = world.hosts.get(id)!;
	life.pausedUntil = world.clock.monotonic() + world.random.below(3000);
	if (world.random.next() < 0.5) {
		world.gone.add(`${id}.${incarnation}`);
	}
};

const sendBooking = async (world: World, booking: string): Promise<void> => {
	const {clock, random, events} = world;
	await clock.sleep(random.below(sendSpread));
	const host = world.hosts.get(random.pick(hostIds)!)!;
	const digest = random.next() < otherBodyChance ? 'other' : 'body';
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

/** A caller sends a booking several times, at once or after it has waited long enough. */
const callBooking = async (world: World, booking: string): Promise<void> => {
	for (let index = 0; index < sendsPerBooking; index++) {
		void sendBooking(world, booking);
		if (world.random.next() < 0.6) {
			// eslint-disable-next-line no-await-in-loop -- The caller gives the request time before it sends it again.
			await world.clock.sleep(world.random.below(answerLimit));
		}
	}
};

const planFaults = (world: World): void => {
	const {clock, random, keyValue} = world;
	const plan = (chance: number, run: () => void): void => {
		if (random.next() < chance) {
			clock.after(random.below(duration), run);
		}
	};

	for (const id of hostIds) {
		plan(0.4, () => {
			restartHost(world, id);
		});
		plan(0.2, () => {
			restartHost(world, id);
		});
		plan(0.5, () => {
			pauseHost(world, id);
		});
	}

	plan(0.4, () => {
		keyValue.setFaults({outage: true});
		clock.after(random.below(5000), () => {
			keyValue.setFaults({outage: false});
		});
	});
};

/** Runs a schedule of bookings, faults and recovery that follows from its seed alone. */
export const runSchedule = async (seed: number, seededFault: SeededFault = 'none'): Promise<History> => {
	const world = createWorld(seed, seededFault);
	for (const id of hostIds) {
		startHost(world, id, 1);
	}

	planFaults(world);
	for (let index = 0; index < bookings; index++) {
		void callBooking(world, createKey(index, world.random));
	}

	await world.clock.advance(duration);
	world.faults = noFaults;
	await world.clock.advance(recovery);
	const living = new Set([...world.hosts.values()].map(({id, incarnation}) => `${id}.${incarnation}.`));
	return {
		events: world.events,
		writes: world.keyValue.getHistory(),
		settled: world.settled.filter(({request}) => [...living].some(prefix => request.startsWith(prefix))),
	};
};
