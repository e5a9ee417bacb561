import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import type {Upstream} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {ReachingHost} from './forwarding-hosts.js';
import {createUpstreamLinks, type UpstreamLinks} from './upstream-links.js';

/** A host's links to five upstreams, with what its probes and the other hosts say. */
export type LinkDay = {
	clock: ManualClock;
	links: UpstreamLinks;
	logLines: string[];
	/** Ids of the upstreams that accept connections of this host; those in `hanging` neither accept nor refuse them. */
	reached: Set<string>;
	hanging: Set<string>;
	/** Hosts that say that they reach the upstreams. */
	hosts: ReachingHost[];
	silentHosts: Set<HostId>;
	/** Whether most of the hosts that are asked answer. */
	answers: {areMost: boolean};
	/** Whether asking the other hosts fails with an error. */
	errors: {areThrown: boolean};
	probes: string[];
};

/** Time after which a connection that hangs is given up. */
export const connectTimeout: Milliseconds = 400;
/** Ids of the upstreams. */
export const ids = ['u0', 'u1', 'u2', 'u3', 'u4'];

/** Builds a host that reaches the upstreams. */
export const buildHost = (host: HostId, openRequests = 0, zone = 'a'): ReachingHost => ({
	record: {
		host, incarnation: 1, zone, callers: '', peers: '', notes: '', strength: 1, isStopping: false,
	},
	openRequests,
});

/** Creates a host whose connections all fail. */
export const createDay = (): LinkDay => {
	const clock = createManualClock();
	const logLines: string[] = [];
	const upstreams = ids.map(id => buildUpstream({id}));
	const state = {
		reached: new Set<string>(),
		hanging: new Set<string>(),
		hosts: [] as ReachingHost[],
		silentHosts: new Set<HostId>(),
		answers: {areMost: true},
		errors: {areThrown: false},
		probes: [] as string[],
	};
	const probe = async ({id}: Upstream): Promise<boolean> => {
		state.probes.push(id);
		if (state.hanging.has(id)) {
			await clock.sleep(connectTimeout);
			return false;
		}

		return state.reached.has(id);
	};

	const links = createUpstreamLinks({
		clock,
		random: createRandom(1),
		logger: createLogger('info', line => {
			logLines.push(line);
		}),
		zone: 'a',
		getUpstreams: () => upstreams,
		probe,
		async findReachingHosts() {
			if (state.errors.areThrown) {
				throw new RangeError('test');
			}

			return {reaching: [...state.hosts], isAnswered: state.answers.areMost};
		},
		isSilent: host => state.silentHosts.has(host),
		onChange: () => undefined,
		onReached: () => undefined,
	});
	return {
		clock, links, logLines, ...state,
	};
};

/** Lets all upstreams accept connections. */
export const reachAll = ({reached}: LinkDay): void => {
	for (const id of ids) {
		reached.add(id);
	}
};

/** Lets connections to all upstreams hang. */
export const hangAll = ({hanging}: LinkDay): void => {
	for (const id of ids) {
		hanging.add(id);
	}
};

/** Gives a sign of a cut, and lets a time pass. */
export const check = async ({links, clock}: LinkDay, time: Milliseconds): Promise<void> => {
	links.check('s');
	await clock.advance(time);
};

/** Cuts the links, while two other hosts reach the upstreams. */
export const cut = async (day: LinkDay): Promise<void> => {
	day.hosts.push(buildHost('h1'), buildHost('h2'));
	await check(day, 10);
	if (!day.links.isCut('s')) {
		throw new Error('The links aren\'t cut.');
	}
};
