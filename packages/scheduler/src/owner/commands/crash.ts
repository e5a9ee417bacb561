import {applyCrash, applyFinish, getSuspectStanding} from '@gentianlift/policy';
import type {Milliseconds, TicketEnd, UpstreamId} from '@gentianlift/types';
import {type Entry, getWaiting, type GroupState} from '../state.js';
import {shed} from './entries.js';

/** Reports of a crash within this time are of the same one. */
const crashWindow: Milliseconds = 5000;

/** Records what the end of a run says of crashes: it may report one, or clear its request. */
export const applyCrashOf = (state: GroupState, entry: Entry, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const {context} = state;
	const {fingerprint} = entry.ticket;
	if (end.crashed === true) {
		recordCrash(state, entry.state.upstream);
	} else if (end.kind === 'finished' && getSuspectStanding(context.suspects, fingerprint, context.clock.now()) === 'suspected') {
		context.suspects = applyFinish(context.suspects, fingerprint);
		context.metrics.count('suspects_cleared');
	}
};

/** Records a crash of an upstream: every request that ran there is a suspect. */
export const recordCrash = (state: GroupState, id: UpstreamId): void => {
	const upstream = state.upstreams.get(id);
	if (upstream === undefined) {
		return;
	}

	const {clock, metrics} = state.context;
	const now = clock.monotonic();
	const isSame = upstream.crash !== undefined && now - upstream.crash.at < crashWindow;
	const counted = isSame ? upstream.crash?.fingerprints ?? new Set<string>() : new Set<string>();
	const failed = upstream.ended.filter(run => run.failed && now - run.endedAt < crashWindow).map(run => run.fingerprint);
	const running = [...upstream.running].map(entry => entry.ticket.fingerprint);
	const fresh = [...failed, ...running].filter(fingerprint => !counted.has(fingerprint));
	state.context.suspects = applyCrash(state.context.suspects, id, fresh, clock.now());
	upstream.crash = {at: isSame ? upstream.crash?.at ?? now : now, fingerprints: new Set([...counted, ...fresh])};
	isolateWaiting(state);
	if (!isSame) {
		metrics.count('upstream_crashes');
	}
};

/** Lets waiting suspects run alone, and refuses those that were found guilty meanwhile. */
const isolateWaiting = (state: GroupState): void => {
	const {suspects, clock} = state.context;
	for (const entry of getWaiting(state)) {
		const standing = getSuspectStanding(suspects, entry.ticket.fingerprint, clock.now());
		entry.ticket.isolated ||= standing === 'suspected';
		if (standing === 'guilty') {
			shed(state, entry, 'crashes-upstreams', 0);
		}
	}
};
