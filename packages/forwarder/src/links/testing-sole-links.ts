import {createRandom, type Clock} from '@gentianlift/clock';
import type {FleetView} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import {createUpstreamLinks, type UpstreamLinks} from './upstream-links.js';

/** Creates the links of the only host of a fleet, which never count as cut. */
export const createSoleLinks = (clock: Clock, view: FleetView): UpstreamLinks => createUpstreamLinks({
	clock,
	random: createRandom(1),
	logger: createSilentLogger(),
	zone: 'a',
	getUpstreams: view.getUpstreams,
	probe: async () => true,
	findReachingHosts: async () => ({reaching: [], isAnswered: true}),
	isSilent: () => true,
	onChange: () => undefined,
	onReached: () => undefined,
});
