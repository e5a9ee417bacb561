import {createManualClock} from '@gentianlift/clock';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {watchVersionBreaks} from './version-breaks.js';

const createWatch = () => {
	const clock = createManualClock();
	const restarts: number[] = [];
	const state = {silence: 0};
	const breaks = watchVersionBreaks({
		clock,
		versions: {
			restart(now) {
				restarts.push(now);
			},
		},
		getSilence: () => state.silence,
	});
	return {
		clock, restarts, state, breaks,
	};
};

// Guards against: a stream that another service began goes on at the one that its route leads to now.
test('a configuration whose routes lead elsewhere is a break, another one is not', () => {
	const {breaks, restarts} = createWatch();
	const routes = [buildRoute()];
	breaks.applyConfiguration(buildConfiguration({routes}));
	breaks.applyConfiguration(buildConfiguration({version: 2, routes: [buildRoute({timeout: 7})]}));
	expect(restarts).toHaveLength(1);
	breaks.applyConfiguration(buildConfiguration({version: 3, routes: [buildRoute({destinations: [{service: 't', weight: 1}]})]}));
	breaks.applyConfiguration(buildConfiguration({version: 4, routes: [...routes, buildRoute({name: 'more', pathPrefix: '/a/more/'})]}));
	expect(restarts).toHaveLength(3);
});

// Guards against: an engine of another version came and went while a host was cut off or suspended.
test('silence of the store and all hosts, and a suspension, are breaks', async () => {
	const {clock, state, restarts, breaks} = createWatch();
	await clock.advance(10_000);
	expect(restarts).toEqual([]);
	state.silence = 4001;
	await clock.advance(250);
	expect(restarts).toHaveLength(1);
	state.silence = 0;
	clock.pause(5000);
	await clock.advance(250);
	expect(restarts).toHaveLength(2);
	breaks.stop();
});
