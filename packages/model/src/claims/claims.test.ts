import {expect, test} from 'vitest';
import {explore, exploreGraph} from '../explore.js';
import {runCheck} from '../run-checks.js';
import {claimChecks, singleWriteBounds} from './checks.js';
import {createClaimSpecification, type ClaimEvent} from './specification.js';
import {createReplay} from './replay.js';

const replayBounds = {...singleWriteBounds, maxWrites: 2};
const traceCount = 150;

test('each fault breaks the invariant that has to catch it', {timeout: 120_000}, () => {
	const faults = claimChecks.filter(({caughtBy}) => caughtBy !== undefined);
	expect(faults.map(check => runCheck(check)).filter(({isPassed}) => !isPassed)).toEqual([]);
});

test('the specification holds with one write', () => {
	const check = {name: 'short', explore: () => explore(createClaimSpecification(singleWriteBounds, 'none', 50_000))};
	expect(runCheck(check).lines).toEqual([expect.stringContaining('holds')]);
});

test('the claims package follows sampled traces of the specification', {timeout: 120_000}, async () => {
	const specification = createClaimSpecification(replayBounds, 'none', 100_000);
	const {states, getTrace} = exploreGraph(specification);
	const traces = [...states.keys()].map(state => getTrace(state) as ClaimEvent[]).filter(trace => trace.every(({type}) => type !== 'drop'));
	const stride = Math.floor(traces.length / traceCount);
	for (const trace of traces.filter((_, index) => index % stride === 0)) {
		const replay = createReplay();
		let state = specification.initial;
		for (const event of trace) {
			const next = specification.apply(state, event);
			// eslint-disable-next-line no-await-in-loop -- The events of a trace are applied in order.
			await replay.apply(event, state, next);
			state = next;
			expect(replay.getClaim(), JSON.stringify(trace)).toEqual(state.slot.claim);
			if (event.type === 'receive') {
				expect(replay.replies, JSON.stringify(trace)).toContainEqual(event.reply);
			}
		}
	}
});
