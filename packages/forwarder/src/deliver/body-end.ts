import {getFraming, type Framing} from '@gentianlift/http';
import type {Incoming} from '../send/incoming.js';

/**
 * What was seen of the end of a body:
 * - `framed`: the last byte of its length, or its last chunk
 * - `closed`: its connection closed without an error, which ends a body without length or chunks
 * - `reset`: its connection failed, and Node reported the end of a body without length or chunks
 * - `lost`: its connection ended, or was closed by this host, before the end of its length or its last chunk
 * - `malformed`: its chunks or its trailer aren't HTTP, also if Node has reported its end
 */
export type BodyEnding = 'framed' | 'closed' | 'reset' | 'lost' | 'malformed';

/** What the bytes of a body tell of its end, beside its framing. */
export type BodyContent
	/** Nothing. */
	= | {kind: 'opaque'}
		/** A stream of events: how many were complete, and how many bytes followed the last one. */
		| {kind: 'events'; events: number; partialBytes: number};

/**
 * Why a body isn't whole:
 * - `reset`, `lost`: as in `BodyEnding`
 * - `end-malformed`: as `malformed` in `BodyEnding`
 * - `inside-event`: a stream ended before its last event was complete
 * - `no-event`: a stream without length or chunks ended before its first event
 */
export type CutReason = 'reset' | 'lost' | 'end-malformed' | 'inside-event' | 'no-event';

/** Whether a body that has ended is whole. */
export type BodyVerdict = {kind: 'whole'} | {kind: 'cut'; reason: CutReason};

/** End of a body: what was seen of it, and whether the body is whole. */
export type BodyEnd = {framing: Framing; ending: BodyEnding; content: BodyContent; verdict: BodyVerdict};

const getEnding = ({message, hasFailed, isBodyMalformed}: Incoming, framing: Framing): BodyEnding => {
	if (isBodyMalformed()) {
		return 'malformed';
	}

	if (!message.complete) {
		return 'lost';
	}

	if (framing !== 'close') {
		return 'framed';
	}

	return hasFailed() ? 'reset' : 'closed';
};

/** Judges a stream whose framing says that it is whole. */
const judgeEvents = ({events, partialBytes}: Extract<BodyContent, {kind: 'events'}>, framing: Framing): BodyVerdict => {
	if (partialBytes > 0) {
		return {kind: 'cut', reason: 'inside-event'};
	}

	return framing === 'close' && events === 0 ? {kind: 'cut', reason: 'no-event'} : {kind: 'whole'};
};

const judge = (ending: BodyEnding, framing: Framing, content: BodyContent): BodyVerdict => {
	switch (ending) {
		case 'reset':
		case 'lost': {
			return {kind: 'cut', reason: ending};
		}

		case 'malformed': {
			return {kind: 'cut', reason: 'end-malformed'};
		}

		case 'framed':
		case 'closed': {
			return content.kind === 'events' ? judgeEvents(content, framing) : {kind: 'whole'};
		}
	}
};

/** Describes and judges the end of a body, once it has ended or its connection is lost. Whether a body is whole is decided here only. */
export const getBodyEnd = (incoming: Incoming, content: BodyContent): BodyEnd => {
	const framing = getFraming(incoming.message);
	const ending = getEnding(incoming, framing);
	return {
		framing, ending, content, verdict: judge(ending, framing, content),
	};
};
