import {createRandom, type Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import {getPartSuspect, type GoodEnd} from './crash-evidence.js';
import {createCrashSuspects, type CrashSuspects} from './crash-suspects.js';

/** The part that crashes engines. */
const bad = getPartSuspect('bad');

/** News of one host for the others. */
type News = {at: Milliseconds; from: number; tell: (suspects: CrashSuspects, now: Milliseconds) => void};

/** Numbers of a simulated fleet. */
const fleet = {
	hosts: 7, engines: 18, requestsPerStep: 4, stepTime: 50, streamTime: 800, delays: [3, 60], lossRatio: 0.2, dayLength: 90_000, otherCrashRatio: 0.002,
} as const;

type Run = {host: number; engine: number; parts: readonly string[]; endsAt: Milliseconds; crashesAt: Milliseconds};

const pickParts = (random: Random): string[] => [`first-${Math.floor(random.next() * 4)}`, `document-${Math.floor((random.next() ** 2) * 120)}`].map(id => getPartSuspect(id));

/** Outcome of a simulated day. */
export type CrashDay = {
	/** Engines that the bad part has crashed. */
	crashes: number;
	/** Requests with the bad part that reached engines later than 3 s after the fifth crash. */
	excess: number;
	/** Sound requests, and those of them that were blocked. */
	sound: number;
	blockedSound: number;
};

/**
 * Plays a day of a fleet whose engines crash on one part, and now and then without a cause in a request. Its hosts tell each
 * other of crashes and good ends, late and with losses; three start again.
 */
export const playCrashDay = (seed: number): CrashDay => {
	const random = createRandom(seed);
	const hosts = Array.from({length: fleet.hosts}, () => createCrashSuspects());
	let news: News[] = [];
	let runs: Run[] = [];
	const upSince = Array.from({length: fleet.engines}, () => 0);
	const result: CrashDay = {
		crashes: 0, excess: 0, sound: 0, blockedSound: 0,
	};
	let fifthCrashAt = Number.POSITIVE_INFINITY;

	const tellOthers = (from: number, now: Milliseconds, tell: News['tell']): void => {
		for (let repeat = 0; repeat < 3; repeat++) {
			if (random.next() >= fleet.lossRatio) {
				news.push({at: now + (repeat * 500) + fleet.delays[0] + (random.next() * (fleet.delays[1] - fleet.delays[0])), from, tell});
			}
		}
	};

	const reportGoodEnd = (from: number, goodEnd: GoodEnd, now: Milliseconds): void => {
		tellOthers(from, now, (suspects, later) => {
			suspects.applyGoodEnd({...goodEnd, age: goodEnd.age + later - now}, later);
		});
	};

	const crashEngine = (engine: number, now: Milliseconds): void => {
		const upstream = `e${engine}@${upSince[engine]!}`;
		upSince[engine] = now + 2500;
		for (const {host, parts} of runs.filter(run => run.engine === engine)) {
			for (const suspect of parts) {
				hosts[host]!.addCrash({suspect, upstream, age: 0}, now);
				tellOthers(host, now, (suspects, later) => {
					suspects.addCrash({suspect, upstream, age: later - now}, later);
					const goodEnd = suspects.takeGoodEndToTell(suspect, later);
					if (goodEnd !== undefined) {
						reportGoodEnd(hosts.indexOf(suspects), goodEnd, later);
					}
				});
				const goodEnd = hosts[host]!.takeGoodEndToTell(suspect, now);
				if (goodEnd !== undefined) {
					reportGoodEnd(host, goodEnd, now);
				}
			}
		}

		runs = runs.filter(run => run.engine !== engine);
	};

	const sendRequest = (parts: readonly string[], now: Milliseconds): void => {
		const host = Math.floor(random.next() * fleet.hosts);
		const suspects = hosts[host]!;
		const isBad = parts.includes(bad);
		const blocking = parts.filter(part => suspects.isBlocked(part, now));
		result.sound += isBad ? 0 : 1;
		if (blocking.length > 0) {
			for (const suspect of blocking) {
				suspects.recordRequest(suspect, now);
			}

			if (host !== 0 || !suspects.isTrialDue(blocking, now)) {
				result.blockedSound += isBad ? 0 : 1;
				return;
			}

			for (const suspect of blocking) {
				suspects.beginTrial(suspect, now);
			}
		}

		const up = upSince.map((since, engine) => ({since, engine})).filter(({since}) => since <= now);
		const engine = random.pick(up)?.engine;
		if (engine === undefined) {
			return;
		}

		result.excess += isBad && now > fifthCrashAt + 3000 ? 1 : 0;
		runs.push({
			host, engine, parts, endsAt: isBad ? Number.POSITIVE_INFINITY : now + (random.next() * fleet.streamTime), crashesAt: isBad ? now + 100 : Number.POSITIVE_INFINITY,
		});
	};

	const endRuns = (now: Milliseconds): void => {
		for (const {engine} of runs.filter(({crashesAt}) => crashesAt <= now)) {
			if (upSince[engine]! <= now) {
				result.crashes += 1;
				fifthCrashAt = result.crashes === 5 ? now : fifthCrashAt;
				crashEngine(engine, now);
			}
		}

		for (const {host, parts} of runs.filter(({endsAt}) => endsAt <= now)) {
			for (const suspect of parts) {
				if (hosts[host]!.addGoodEnd(suspect, now)) {
					reportGoodEnd(host, {suspect, age: 0}, now);
				}
			}
		}

		runs = runs.filter(({endsAt}) => endsAt > now);
	};

	const repeatCrashes = (now: Milliseconds): void => {
		for (const [host, suspects] of hosts.entries()) {
			for (const repeated of suspects.getRepeatedCrashes(now)) {
				tellOthers(host, now, (others, later) => {
					others.addCrash({...repeated, age: repeated.age + later - now}, later);
				});
			}
		}
	};

	for (let now = 0; now < fleet.dayLength; now += fleet.stepTime) {
		for (const item of news.filter(({at}) => at <= now)) {
			for (const [host, suspects] of hosts.entries()) {
				if (host !== item.from) {
					item.tell(suspects, now);
				}
			}
		}

		news = news.filter(({at}) => at > now);
		endRuns(now);
		for (let index = 0; index < fleet.requestsPerStep; index++) {
			sendRequest(pickParts(random), now);
		}

		if (now > 10_000 && random.next() < 0.05) {
			sendRequest([pickParts(random)[0]!, bad], now);
		}

		if (random.next() < fleet.otherCrashRatio) {
			crashEngine(Math.floor(random.next() * fleet.engines), now);
		}

		if (now === 24_000) {
			hosts.splice(0, 3, createCrashSuspects(), createCrashSuspects(), createCrashSuspects());
		}

		if (now % 500 === 0) {
			repeatCrashes(now);
		}
	}

	return result;
};
