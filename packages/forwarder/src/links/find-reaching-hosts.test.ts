import {createManualClock, createRandom} from '@gentianlift/clock';
import type {HostRecord, Reach} from '@gentianlift/discovery';
import {expect, test} from 'vitest';
import {findReachingHosts, type ReachSurvey} from './find-reaching-hosts.js';

const notReached: Reach = {isReached: false, openRequests: 1};
const reached: Reach = {isReached: true, openRequests: 1};

/** Asks hosts that give these answers, the last `stopping` of which are stopping; undefined for no answer. */
const askSome = async (stopping: number, ...answers: Array<Reach | undefined>): Promise<ReachSurvey> => {
	const records = answers.map((_, index): HostRecord => ({
		host: `h${index}`, incarnation: 1, zone: 'a', callers: '', peers: String(index), notes: '', strength: 1, isStopping: false,
	}));
	const clock = createManualClock();
	const available = records.slice(0, records.length - stopping);
	const survey = findReachingHosts({service: 's'}, {
		fleet: {
			getAvailableOthers: () => available,
			getStoppingOthers: () => records.slice(available.length),
			askForReach: async address => answers[Number(address)],
		},
		clock,
		random: createRandom(1),
	});
	await clock.advance(100);
	return survey;
};

const ask = async (...answers: Array<Reach | undefined>): Promise<ReachSurvey> => askSome(0, ...answers);

// Guards against: hosts that don't answer in time are taken for hosts that don't reach an upstream, so that a cut link counts as a crash and sound requests are blocked for it.
test('upstreams count as away only if most of the hosts that are asked say so', async () => {
	expect(await ask(notReached, notReached, undefined)).toEqual({reaching: [], isAnswered: true});
	expect(await ask(notReached, undefined)).toEqual({reaching: [], isAnswered: false});
	expect(await ask(undefined, undefined, undefined)).toEqual({reaching: [], isAnswered: false});
	expect(await ask()).toEqual({reaching: [], isAnswered: true});
	expect(await ask(undefined, undefined, reached)).toMatchObject({reaching: [{record: {host: 'h2'}}]});
});

// Guards against: calls are refused although a host that is stopping reaches the upstreams and serves for some seconds (soak seed 9230).
test('hosts that are stopping are asked if no other one reaches the upstreams', async () => {
	expect(await askSome(1, notReached, reached)).toMatchObject({reaching: [{record: {host: 'h1'}}]});
	expect(await askSome(1, reached)).toMatchObject({reaching: [{record: {host: 'h0'}}]});
	expect(await askSome(1, reached, reached)).toMatchObject({reaching: [{record: {host: 'h0'}}]});
	expect(await askSome(1, notReached, undefined)).toEqual({reaching: [], isAnswered: true});
	expect(await askSome(1, undefined)).toEqual({reaching: [], isAnswered: false});
});
