import {expect, test} from 'vitest';
import {
	getPartSuspect, goodEndLifetime, type SuspectedCrash,
} from './crash-evidence.js';
import {createCrashSuspects} from './crash-suspects.js';
import {playCrashDay} from './testing-crash-day.js';

const bad = getPartSuspect('bad');
const sound = getPartSuspect('sound');
const crash = (suspect: string, upstream: string, age = 0): SuspectedCrash => ({suspect, upstream, age});

test('a part is blocked after two crashes, if no request with it has ever ended well', () => {
	const suspects = createCrashSuspects();
	suspects.addCrash(crash(bad, 'a'), 0);
	expect(suspects.isBlocked(bad, 1000)).toBe(false);
	suspects.addCrash(crash(bad, 'b'), 1000);
	expect(suspects.isBlocked(bad, 1000)).toBe(true);
});

test('upstreams that crash together count as one crash of a part', () => {
	const suspects = createCrashSuspects();
	for (const upstream of ['a', 'b', 'c']) {
		suspects.addCrash(crash(bad, upstream), 100);
	}

	expect(suspects.isBlocked(bad, 100)).toBe(false);
});

// Guards against: a part that is in all requests is blamed for what another part does.
test('a part whose requests end well is blocked by no two crashes', () => {
	const suspects = createCrashSuspects();
	suspects.addGoodEnd(sound, 0);
	suspects.addCrash(crash(sound, 'a'), 1000);
	suspects.addCrash(crash(sound, 'b'), 2000);
	suspects.addCrash(crash(sound, 'c'), 3000);
	expect(suspects.isBlocked(sound, 3000)).toBe(false);
});

// Guards against: a request that many callers send is refused, as three engines have failed together while they ran it.
test('copies of a request that ended well lately are blocked by no engines that fail together', () => {
	const suspects = createCrashSuspects();
	suspects.addGoodEnd('copy', 0);
	for (const upstream of ['a', 'b', 'c', 'd', 'e']) {
		suspects.addCrash(crash('copy', upstream), 1000);
	}

	expect(suspects.isBlocked('copy', 1000)).toBe(false);
});

// Guards against: a part that has begun to crash engines is cleared for ever by what it was before.
test('a part that has ended well is blocked after four crashes in a row, or once that was long ago', () => {
	const suspects = createCrashSuspects();
	suspects.addGoodEnd(bad, 0);
	for (const [index, upstream] of ['a', 'b', 'c'].entries()) {
		suspects.addCrash(crash(bad, upstream), (index + 1) * 1000);
	}

	expect(suspects.isBlocked(bad, 3000)).toBe(false);
	expect(suspects.isBlocked(bad, goodEndLifetime + 1)).toBe(true);
	suspects.addCrash(crash(bad, 'd'), 4000);
	expect(suspects.isBlocked(bad, 4000)).toBe(true);
});

// Guards against: a report that repeats an old crash undoes the good end that came after it.
test('a repeated report of a crash does not undo a good end, whichever comes first', () => {
	const suspects = createCrashSuspects();
	suspects.addCrash(crash(bad, 'a'), 1000);
	suspects.addCrash(crash(bad, 'b'), 2000);
	expect(suspects.addGoodEnd(bad, 3000)).toBe(true);
	expect(suspects.addCrash(crash(bad, 'b', 2000), 4000)).toBe(false);
	expect(suspects.isBlocked(bad, 4000)).toBe(false);
	const late = createCrashSuspects();
	late.applyGoodEnd({suspect: bad, age: 1000}, 4000);
	late.addCrash(crash(bad, 'a', 3000), 4000);
	late.addCrash(crash(bad, 'b', 2000), 4000);
	expect(late.isSuspected(bad, 4000)).toBe(false);
});

test('a blocked part is tried after a time that grows with each crash, and cleared by a good end', () => {
	const suspects = createCrashSuspects();
	suspects.addCrash(crash(bad, 'a'), 0);
	suspects.addCrash(crash(bad, 'b'), 1000);
	expect(suspects.isTrialDue([bad], 15_000)).toBe(false);
	expect(suspects.isTrialDue([bad], 16_000)).toBe(true);
	suspects.beginTrial(bad, 16_000);
	expect(suspects.isTrialDue([bad], 30_000)).toBe(false);
	suspects.addCrash(crash(bad, 'c'), 17_000);
	suspects.recordRequest(bad, 100_000);
	expect(suspects.isTrialDue([bad], 136_000)).toBe(false);
	expect(suspects.isTrialDue([bad], 137_000)).toBe(true);
	suspects.addGoodEnd(bad, 138_000);
	expect(suspects.isBlocked(bad, 138_000)).toBe(false);
});

// Guards against: sound requests pay for a guilty part that came with their first one, when no host has seen one end well yet.
test('of two parts that were in the same crashes, each is tried soon in a request without the other', () => {
	const suspects = createCrashSuspects();
	for (const suspect of [bad, sound]) {
		suspects.addCrash(crash(suspect, 'a'), 0);
		suspects.addCrash(crash(suspect, 'b'), 1000);
	}

	expect(suspects.isTrialDue([bad, sound], 3000)).toBe(false);
	expect(suspects.isTrialDue([sound], 1400)).toBe(false);
	expect(suspects.isTrialDue([sound], 1500)).toBe(true);
	suspects.beginTrial(sound, 1500);
	expect(suspects.isTrialDue([sound], 1600)).toBe(false);
	suspects.addCrash(crash(bad, 'c'), 1700);
	expect(suspects.isTrialDue([bad], 10_000)).toBe(false);
	expect(suspects.isTrialDue([sound], 2000)).toBe(true);
	suspects.addGoodEnd(sound, 2100);
	expect(suspects.isBlocked(sound, 2100)).toBe(false);
	expect(suspects.isBlocked(bad, 2100)).toBe(true);
});

// Guards against: a block lapses while requests of the suspect still come, so that each host sends one again.
test('a block lasts for as long as requests of the suspect come, and ends after they have stopped', () => {
	const suspects = createCrashSuspects();
	suspects.addCrash(crash(bad, 'a'), 0);
	suspects.addCrash(crash(bad, 'b'), 1000);
	for (let now = 1000; now <= 1_000_000; now += 50_000) {
		suspects.recordRequest(bad, now);
		expect(suspects.isBlocked(bad, now)).toBe(true);
	}

	expect(suspects.isBlocked(bad, 1_200_000)).toBe(false);
});

test('what speaks against a blocked suspect is repeated while its requests come, so that a host that has started learns it', () => {
	const suspects = createCrashSuspects();
	suspects.addCrash(crash(bad, 'a'), 0);
	suspects.addCrash(crash(sound, 'a'), 0);
	suspects.addCrash(crash(bad, 'b'), 1000);
	expect(suspects.getRepeatedCrashes(1000)).toEqual([]);
	suspects.recordRequest(bad, 2000);
	const started = createCrashSuspects();
	for (const repeated of suspects.getRepeatedCrashes(3000)) {
		started.addCrash(repeated, 900_000);
	}

	expect(started.isBlocked(bad, 900_000)).toBe(true);
	expect(started.isBlocked(sound, 900_000)).toBe(false);
	expect(suspects.getRepeatedCrashes(100_000)).toEqual([]);
});

test('the number of suspects is bounded', () => {
	const suspects = createCrashSuspects();
	for (let index = 0; index < 10_000; index++) {
		suspects.addCrash(crash(`f${index}`, 'a'), index);
	}

	expect(suspects.isSuspected('f0', 10_000)).toBe(false);
	expect(suspects.isSuspected('f9999', 10_000)).toBe(true);
});

// Guards against: the guilty part isn't found from what the hosts of a fleet know together, or sound parts pay for it.
test('a fleet finds the part that crashes engines, and serves sound requests, with lost news and hosts that start again', () => {
	for (let seed = 1; seed <= 20; seed++) {
		const {crashes, excess, sound: soundRequests, blockedSound} = playCrashDay(seed);
		expect(crashes, `seed ${seed}`).toBeLessThanOrEqual(5 + 3);
		expect(excess, `seed ${seed}`).toBeLessThanOrEqual(3);
		expect(blockedSound / soundRequests, `seed ${seed}`).toBeLessThan(0.5);
	}
});

// Guards against: sound requests that share two parts with those that crash upstreams, but not the part that does it, are refused for as long as they come.
test('a request is tried soon if all its blocked parts may owe their crashes to a part that it does not have', () => {
	const suspects = createCrashSuspects();
	const [first, second] = [getPartSuspect('c1'), getPartSuspect('c2')];
	for (const [upstream, now] of [['u1', 0], ['u2', 1000]] as const) {
		for (const suspect of [first, second, bad]) {
			suspects.addCrash({suspect, upstream, age: 0}, now);
		}
	}

	expect(suspects.isTrialDue([first, second, bad], 2000)).toBe(false);
	expect(suspects.isTrialDue([first, second], 1400)).toBe(false);
	expect(suspects.isTrialDue([first, second], 1500)).toBe(true);
	suspects.addGoodEnd(first, 1600);
	suspects.addGoodEnd(second, 1600);
	expect([first, second, bad].filter(suspect => suspects.isBlocked(suspect, 1700))).toEqual([bad]);
});
