import {getFraming, type Framing, type Incoming} from './incoming.js';

/**
 * What was seen of the end of an answer's body:
 * - `framed`: the last byte of its length, or its last chunk
 * - `closed`: its connection closed without an error, which ends a body without length or chunks
 * - `reset`: its connection failed, and Node reported the end of a body without length or chunks
 * - `lost`: its connection ended, or was closed by this host, before the end of its length or its last chunk
 */
export type AnswerEnding = 'framed' | 'closed' | 'reset' | 'lost';

/** End of an answer's body, as logged. */
export type AnswerEnd = {
	framing: Framing;
	ending: AnswerEnding;
	/** Bytes after the last complete event; undefined for an answer that isn't a stream. */
	partialBytes: number | undefined;
};

const getEnding = ({message, hasFailed}: Incoming, framing: Framing): AnswerEnding => {
	if (!message.complete) {
		return 'lost';
	}

	if (framing !== 'close') {
		return 'framed';
	}

	return hasFailed() ? 'reset' : 'closed';
};

/** Describes the end of an answer's body, once it has been received or its connection is lost. */
export const getAnswerEnd = (incoming: Incoming, partialBytes?: number): AnswerEnd => {
	const framing = getFraming(incoming.message);
	return {framing, ending: getEnding(incoming, framing), partialBytes};
};
