import type {Service} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import type {ObservedService} from './observed-service.js';
import {createQueuedTokens, type QueuedTokens} from './queued-tokens.js';
import type {ServiceRoom} from './service-room.js';

/** What a dispatch pass knows of a service. */
type PassService = {observed: ObservedService; /** Undefined after a call was sent to the service. */ room: ServiceRoom | undefined};

/** Calls that a pass has decided on and left in the queue, by which it bounds how many others it decides on. */
export type LeftCalls = {
	/** Their number, by rank. */
	byRank: Map<Rank, number>;
	/** Their groups. */
	groups: Set<string>;
};

/** A pass over queued calls, which reads the clock and observes each service once. */
export type DispatchPass = {
	/** When the pass began. */
	now: Milliseconds;
	/** Number of queued calls when it began. */
	queueLength: number;
	/** Services that it has observed, by name. */
	services: Map<string, PassService>;
	/** Tokens of the calls that it has left in the queue. */
	queuedTokens: QueuedTokens;
	/** Numbers of the calls that it has left in the queue for permits, by service. */
	permitWaiters: Map<string, number>;
	leftCalls: LeftCalls;
};

/** Creates a pass that has not looked at any call. */
export const createDispatchPass = (now: Milliseconds, queueLength: number): DispatchPass => ({
	now, queueLength, services: new Map(), queuedTokens: createQueuedTokens(), permitWaiters: new Map(), leftCalls: {byRank: new Map(), groups: new Set()},
});

/** What a pass reads. */
export type PassContext = Pick<ForwarderContext, 'view' | 'tracker' | 'links'>;

const findService = (service: Service, {services, now}: DispatchPass, {view, tracker, links}: PassContext): PassService => {
	const known = services.get(service.name);
	if (known !== undefined) {
		return known;
	}

	const observed = tracker.observe(service, view.getUpstreams(service.name), now);
	const added: PassService = {observed, room: undefined};
	services.set(service.name, added);
	if (observed.reachable.length < observed.all.length) {
		links.check(service.name);
	}

	return added;
};

/** Observes a service, once in a pass. */
export const observeService = (service: Service, pass: DispatchPass, context: PassContext): ObservedService =>
	findService(service, pass, context).observed;

/** Returns the room that a service has now. */
export const getRoom = (service: Service, pass: DispatchPass, context: PassContext): ServiceRoom => {
	const known = findService(service, pass, context);
	known.room ??= context.tracker.measureRoom(known.observed);
	return known.room;
};

/** Records that a call was sent to an upstream of a service, which has less room for it. */
export const forgetRoom = (service: string, {services}: DispatchPass): void => {
	const known = services.get(service);
	if (known !== undefined) {
		known.room = undefined;
	}
};

/** Records that a call was decided on and stays in the queue. */
export const recordLeftCall = ({leftCalls}: DispatchPass, rank: Rank, group: string): void => {
	leftCalls.byRank.set(rank, (leftCalls.byRank.get(rank) ?? 0) + 1);
	leftCalls.groups.add(group);
};
