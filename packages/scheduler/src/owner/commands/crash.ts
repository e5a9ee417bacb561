import {addCrash, removeSuspect, getSuspectStatus} from '@gentianlift/policy';
import type {Milliseconds, TicketEnd, UpstreamId} from '@gentianlift/types';
import {type TrackedTicket, getWaitingEntries, type GroupState} from '../state.js';
import {shed} from './entries.js';

/** Reports of an upstream's crash within this time of the first are about the same crash. */
const crashWindow: Milliseconds = 5000;

/** Records a crash that the end of a run reports; a run that finished clears its request of suspicion. */
export const applyCrashOutcome = (state: GroupState, entry: TrackedTicket, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const {context} = state;
	const {fingerprint} = entry.ticket;
	if (end.crashed === true) {
		recordCrash(state, entry.state.upstream);
	} else if (end.kind === 'finished' && getSuspectStatus(context.suspects, fingerprint, context.clock.now()) === 'suspected') {
		context.suspects = removeSuspect(context.suspects, fingerprint);
		context.metrics.count('suspects_cleared');
	}
};

/** Records a crash of an upstream: every request that ran there, or failed there just before, becomes a suspect. */
export const recordCrash = (state: GroupState, id: UpstreamId): void => {
	const upstream = state.upstreams.get(id);
	if (upstream === undefined) {
		return;
	}

	const {clock, metrics} = state.context;
	const now = clock.monotonic();
	const isSameCrash = upstream.lastCrash !== undefined && now - upstream.lastCrash.at < crashWindow;
	const knownSuspects = isSameCrash ? upstream.lastCrash?.fingerprints ?? new Set<string>() : new Set<string>();
	const recentlyFailed = upstream.recentRuns.filter(run => run.failed && now - run.endedAt < crashWindow).map(run => run.fingerprint);
	const running = [...upstream.running].map(entry => entry.ticket.fingerprint);
	const newSuspects = [...recentlyFailed, ...running].filter(fingerprint => !knownSuspects.has(fingerprint));
	state.context.suspects = addCrash(state.context.suspects, id, newSuspects, clock.now());
	upstream.lastCrash = {at: isSameCrash ? upstream.lastCrash?.at ?? now : now, fingerprints: new Set([...knownSuspects, ...newSuspects])};
	updateWaitingSuspects(state);
	if (!isSameCrash) {
		metrics.count('upstream_crashes');
	}
};

/** Isolates waiting requests that are now suspects, and sheds those that now count as the cause of crashes. */
const updateWaitingSuspects = (state: GroupState): void => {
	const {suspects, clock} = state.context;
	for (const entry of getWaitingEntries(state)) {
		const status = getSuspectStatus(suspects, entry.ticket.fingerprint, clock.now());
		entry.ticket.isolated ||= status === 'suspected';
		if (status === 'guilty') {
			shed(state, entry, 'crashes-upstreams', 0);
		}
	}
};
