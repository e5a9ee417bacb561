import type {StartedStream} from '@gentianlift/routing';
import {expect, test} from 'vitest';
import {createPendingChanges, type PendingChanges, type ReportedChanges} from './pending-changes.js';

const buildStream = (number: number): StartedStream => ({request: `a${number}`, service: 's', softwareVersion: 'v1'});

const getChanges = (pending: PendingChanges, isFull: boolean): ReportedChanges => pending.getChanges({ownLoads: [], isFull, now: 0});

// Guards against: streams beyond those that fit into one report are never named.
test('streams that do not fit into a report are named by the next one', () => {
	const pending = createPendingChanges();
	for (let number = 0; number < 500; number++) {
		pending.addStream(buildStream(number));
	}

	expect(getChanges(pending, false).streams.map(({request}) => request)).toEqual(Array.from({length: 400}, (_, number) => `a${number}`));
	pending.markReported(false);
	expect(getChanges(pending, false).streams.map(({request}) => request)).toEqual(Array.from({length: 100}, (_, index) => `a${400 + index}`));
	pending.markReported(false);
	expect(getChanges(pending, false).streams).toEqual([]);
	expect(getChanges(pending, true).streams).toHaveLength(400);
});

test('the number of streams that wait for a report is bounded', () => {
	const pending = createPendingChanges();
	for (let number = 0; number < 5000; number++) {
		pending.addStream(buildStream(number));
	}

	let reported = 0;
	for (let {streams} = getChanges(pending, false); streams.length > 0; streams = getChanges(pending, false).streams) {
		reported += streams.length;
		pending.markReported(false);
	}

	expect(reported).toBe(4000);
});

/** Size of a datagram, in bytes. */
const maxDatagramBytes = 65_507;

// Guards against: prompts with many parts make a report too large for a datagram, so that nothing of it is sent.
test('prompts that do not fit into a report are named by the next one', () => {
	const pending = createPendingChanges();
	const parts = Array.from({length: 128}, (_, number) => ({id: String(number).padStart(64, '0'), tokens: 100_000}));
	for (let number = 0; number < 20; number++) {
		pending.addPrefill({upstream: `u${number}`, model: 'm', parts});
	}

	const reported: string[] = [];
	for (let {prefills} = getChanges(pending, false); prefills.length > 0; prefills = getChanges(pending, false).prefills) {
		expect(JSON.stringify(prefills.map(({upstream, model, parts}) => [upstream, model, parts.map(({id, tokens}) => [id, tokens])])).length).toBeLessThan(maxDatagramBytes);
		reported.push(...prefills.map(({upstream}) => upstream));
		pending.markReported(false);
	}

	expect(reported).toEqual(Array.from({length: 20}, (_, number) => `u${number}`));
});
