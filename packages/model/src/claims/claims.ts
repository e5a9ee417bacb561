import type {Invariant, Specification} from '../specification.js';
import {applyAttemptEvent, getEvents as getAttemptEvents, type AttemptEvent} from './attempt.js';
import {
	createState, type Bounds, type Fault, type State,
} from './state.js';
import {applyWriterEvent, getEvents as getWriterEvents, type WriterEvent} from './writer.js';

/** Anything that may happen to the claims of one key. */
export type ClaimEvent = WriterEvent | AttemptEvent;

const writerEvents = new Set<ClaimEvent['type']>(['deliver', 'step', 'drop', 'land', 'reply', 'lose-reply']);
const isWriterEvent = (event: ClaimEvent): event is WriterEvent => writerEvents.has(event.type);

const isStillClaimed = ({slot, attempts}: State): boolean => attempts.every((attempt, index) =>
	attempt.phase !== 'dispatched' || (slot.claim?.attempt === index && slot.claim.outcome === 'claimed'));

const isDoneTrue = ({attempts}: State): boolean =>
	attempts.every(({told}) => told !== 'done') || attempts.some(({ran}) => ran);

/** The promises about bookings. */
export const claimInvariants: Array<Invariant<State>> = [
	{name: 'a booking runs at most once', holds: ({attempts}) => attempts.filter(({ran}) => ran).length <= 1},
	{name: 'what was told not run never runs', holds: ({attempts}) => attempts.every(({told, ran}) => told !== 'not-run' || !ran)},
	{name: 'a stored outcome never changes', holds: ({hasChangedOutcome}) => !hasChangedOutcome},
	{name: 'a request starts only while its claim is stored', holds: isStillClaimed},
	{name: 'an attempt that was released is not claimed', holds: ({slot}) => !slot.claim?.givenUp.includes(slot.claim.attempt)},
	{name: 'done is told only after a run', holds: isDoneTrue},
];

/** Creates the specification of claims for two hosts, with a fault if one is asked for. */
export const createClaimSpecification = (bounds: Bounds, fault: Fault, stateLimit: number): Specification<State, ClaimEvent> => ({
	initial: createState(bounds),
	getEvents: state => [...getAttemptEvents(state, bounds, fault), ...getWriterEvents(state, fault, bounds.writes)],
	apply: (state, event) => isWriterEvent(event) ? applyWriterEvent(state, event, fault) : applyAttemptEvent(state, event, fault),
	invariants: claimInvariants,
	stateLimit,
});
