import type {Invariant, Specification} from '../specification.js';
import {applyAttemptEvent, getAttemptEvents, type AttemptEvent} from './attempt.js';
import {
	createInitialState, type Bounds, type Fault, type State,
} from './state.js';
import {applyWriterEvent, getWriterEvents, type WriterEvent} from './writer.js';

/** Events that concern the claims of one key. */
export type ClaimEvent = WriterEvent | AttemptEvent;

const writerEvents = new Set<ClaimEvent['type']>(['deliver', 'step', 'drop', 'land', 'reply', 'lose-reply']);
const isWriterEvent = (event: ClaimEvent): event is WriterEvent => writerEvents.has(event.type);

const areDispatchedAttemptsClaimed = ({slot, attempts}: State): boolean => attempts.every((attempt, index) =>
	attempt.phase !== 'dispatched' || (slot.claim?.attempt === index && slot.claim.outcome === 'claimed'));

const isDoneReportedAfterRun = ({attempts}: State): boolean =>
	attempts.every(({reportedResult}) => reportedResult !== 'done') || attempts.some(({hasRun}) => hasRun);

/** Invariants of the claim protocol, which lets a non-idempotent request (a booking) run at most once per key. */
export const claimInvariants: Array<Invariant<State>> = [
	{name: 'a booking runs at most once', holds: ({attempts}) => attempts.filter(({hasRun}) => hasRun).length <= 1},
	{name: 'what was told not run never runs', holds: ({attempts}) => attempts.every(({reportedResult, hasRun}) => reportedResult !== 'not-run' || !hasRun)},
	{name: 'a stored outcome never changes', holds: ({hasChangedOutcome}) => !hasChangedOutcome},
	{name: 'a request starts only while its claim is stored', holds: areDispatchedAttemptsClaimed},
	{name: 'an attempt that was released is not claimed', holds: ({slot}) => !slot.claim?.givenUp.includes(slot.claim.attempt)},
	{name: 'done is told only after a run', holds: isDoneReportedAfterRun},
];

/** Creates the specification of the claim protocol between two hosts, with the given fault in it unless that is `none`. */
export const createClaimSpecification = (bounds: Bounds, fault: Fault, maxStates: number): Specification<State, ClaimEvent> => ({
	initial: createInitialState(bounds),
	getEvents: state => [...getAttemptEvents(state, bounds, fault), ...getWriterEvents(state, fault, bounds.maxWrites)],
	apply: (state, event) => isWriterEvent(event) ? applyWriterEvent(state, event, fault) : applyAttemptEvent(state, event, fault),
	invariants: claimInvariants,
	maxStates,
});
