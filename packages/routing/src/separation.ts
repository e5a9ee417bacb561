import type {Route, Service} from './configuration.js';
import {getHash} from './hash.js';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

/** Prompt tokens that an engine reads in one step beside the tokens of running streams. */
const tokensForStep = 2048;
/** Time of a step without prompts to read, in milliseconds. */
const stepTime = 8;
/** Part of a pause's target that is left for the network. */
const marginShare = 0.05;
/** Delicate streams for each upstream that is set apart. */
const streamsForUpstream = 14;
/** Part of the upstreams that may be set apart. */
const mostShare = 0.4;

/** Tells whether reading a long prompt makes the streams of a route beside it late: an event needs several steps, each with a piece of the prompt. */
export const isDelicateRoute = (route: Route, service: Service | undefined, readingSpeed: number): boolean => {
	if (route.pauseTarget === undefined || service?.engine === undefined) {
		return false;
	}

	const pause = service.engine.tokensForEvent * ((tokensForStep / readingSpeed) + stepTime);
	return pause > route.pauseTarget * (1 - marginShare);
};

/** Chooses the upstreams that long prompts leave to delicate streams; all hosts choose the same for the same load. */
export const chooseQuietUpstreams = (upstreams: readonly Upstream[], delicateStreams: number): ReadonlySet<UpstreamKey> => {
	const most = Math.floor(upstreams.length * mostShare);
	const count = delicateStreams === 0 ? 0 : Math.min(most, Math.ceil(delicateStreams / streamsForUpstream));
	const keys = upstreams.map(upstream => getUpstreamKey(upstream));
	return new Set(keys.toSorted((one, other) => getHash(one) - getHash(other)).slice(0, count));
};
