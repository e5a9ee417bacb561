import {Buffer} from 'node:buffer';
import type {Progress} from '../call.js';
import type {StreamEvent} from './event-splitter.js';

/** Why the events of an answer can't be delivered: `event-unnumbered` before it has gone on where the caller is, `event-missing` if one before them is missing. */
export type SequenceBreak = 'event-unnumbered' | 'event-missing';

/** The events of an answer that follow what the caller has, and why none after them does, if so. */
export type NextEvents = {events: StreamEvent[]; sequenceBreak: SequenceBreak | undefined};

/** Chooses the events of one answer that go on where the caller of its stream is. Upstreams number the events of a stream consecutively. */
export type EventSequence = {
	/** Returns which of the next events are delivered, and records them in the call's progress. */
	take: (events: readonly StreamEvent[]) => NextEvents;
	/** Whether the answer has brought an event that the caller didn't have. */
	hasNewEvents: () => boolean;
};

/** Lines that are empty or a comment, which callers pass over. */
const ignoredLines = /^(?::[^\r\n]*)?$/v;

const isIgnored = ({bytes}: StreamEvent): boolean =>
	Buffer.from(bytes).toString('latin1').split(/\r\n|\r|\n/v).every(line => ignoredLines.test(line));

/** Creates the sequence of an answer, which continues a stream if the caller has numbered events of it. */
export const createEventSequence = (progress: Progress): EventSequence => {
	/** Whether events without a number belong to what the caller has: from the answer's first new event on. */
	let hasJoined = (progress.lastEventId ?? 0) === 0;
	let hasNew = false;

	const takeNumbered = (id: number): boolean => {
		const last = progress.lastEventId;
		const isNext = last === undefined || id === last + 1;
		if (isNext) {
			progress.lastEventId = id;
			hasJoined = true;
		}

		return isNext;
	};

	/** Returns whether an event is delivered, or that it breaks the sequence. */
	const takeOne = (event: StreamEvent): boolean | SequenceBreak => {
		if (event.id !== undefined) {
			const isOld = progress.lastEventId !== undefined && event.id <= progress.lastEventId;
			return takeNumbered(event.id) || (isOld ? false : 'event-missing');
		}

		if (isIgnored(event)) {
			return hasJoined;
		}

		if (!hasJoined) {
			return 'event-unnumbered';
		}

		progress.hasUnnumberedEvents = true;
		return true;
	};

	return {
		take(events) {
			const taken: StreamEvent[] = [];
			for (const event of events) {
				const result = takeOne(event);
				if (typeof result === 'string') {
					return {events: taken, sequenceBreak: result};
				}

				if (result) {
					hasNew ||= event.id !== undefined || !isIgnored(event);
					taken.push(event);
				}
			}

			return {events: taken, sequenceBreak: undefined};
		},
		hasNewEvents: () => hasNew,
	};
};
