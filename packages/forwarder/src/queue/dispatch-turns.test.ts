import {createRandom} from '@gentianlift/clock';
import {getQueueRank, noRankTokens} from '@gentianlift/routing';
import {buildCandidate, buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createDispatchTurns, type DispatchTurn, type DispatchTurns} from './dispatch-turns.js';

const backlogLimit = 150;
const attempts = 2000;

const createTurns = (): DispatchTurns => createDispatchTurns({
	random: createRandom(1), countHosts: () => 75, tracker: {getReportedQueuedTokens: () => noRankTokens},
});

/** Candidates with half of their room, for which other hosts have queued calls. */
const candidates = Array.from({length: 20}, (_, index) => buildCandidate({
	upstream: buildUpstream({id: `u${index}`}), backlog: 75, uncachedTokens: 5000, queuedElsewhere: new Map([[1, 30_000]]),
}));

/** Returns the fraction of draws that let a call be sent. */
const getSentFraction = (turn: Partial<DispatchTurn>): number => {
	const turns = createTurns();
	let sent = 0;
	for (let index = 0; index < attempts; index++) {
		const isSent = turns.take({
			rank: 1, candidate: candidates[0]!, candidates, backlogLimit, now: index * 1000, isNew: false, ...turn,
		});
		sent += isSent ? 1 : 0;
	}

	return sent / attempts;
};

// Guards against: quick calls of a customer wait for their turn among its long ones.
test('a customer\'s calls on a route of a higher rank take no turn among those on others', () => {
	const [quick, long] = [0, 2].map(rank => getQueueRank({rank}, 1));
	const waiting = candidates.map(candidate => ({...candidate, uncachedTokens: 1000, queuedElsewhere: new Map([[long!, 30_000]])}));
	expect(getSentFraction({rank: quick!, candidate: waiting[0]!, candidates: waiting})).toBe(1);
});

// Engines idled in a fleet with many of them, as each waiting call was taken to compete for each engine.
test('waiting calls compete for one of the upstreams that have room', () => {
	const full = candidates.slice(1).map(candidate => ({...candidate, backlog: 500}));
	expect(getSentFraction({})).toBeGreaterThan(0.08);
	expect(getSentFraction({candidates: [candidates[0]!, ...full]})).toBeLessThan(0.02);
});

// Guards against: less urgent calls of some hosts take the room for which more urgent ones wait at others.
test('a call leaves the room to calls of higher ranks at other hosts, and takes it before those of lower ones', () => {
	const waiting = candidates[0]!;
	expect(getSentFraction({rank: 2, candidates: [waiting]})).toBe(0);
	expect(getSentFraction({rank: 0, candidates: [waiting]})).toBe(1);
});

const smallCall = {...candidates[0]!, uncachedTokens: 1000};

// Guards against: quick calls wait for their turn among long prompts of their rank, though they add next to nothing to a backlog.
test('a small call that has just come takes no turn among calls of its rank', () => {
	expect(getSentFraction({candidate: smallCall, isNew: true})).toBe(1);
	expect(getSentFraction({candidate: {...smallCall, uncachedTokens: 5000}, isNew: true})).toBeLessThan(0.5);
});

// Guards against: a call that adds little to a backlog takes a slot and memory for which more urgent calls wait.
test('a small call leaves the room to calls of higher ranks at other hosts', () => {
	for (const isNew of [true, false]) {
		expect(getSentFraction({
			rank: 2, candidate: smallCall, candidates: [smallCall], isNew,
		})).toBe(0);
	}
});

// Guards against: small calls that wait at many hosts go to an engine at once, beyond its room.
test('small calls take turns with those of other hosts', () => {
	const hosts = 1 + (30_000 / smallCall.uncachedTokens);
	const room = (backlogLimit - smallCall.backlog) * smallCall.prefillRate;
	const sent = getSentFraction({candidate: smallCall, candidates: [smallCall]}) * hosts * smallCall.uncachedTokens;
	expect(sent).toBeGreaterThan(room / 2);
	expect(sent).toBeLessThan(room * 2);
});
