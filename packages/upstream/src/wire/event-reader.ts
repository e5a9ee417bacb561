import {
	decodeText, encodeText, findBytes, hasBytesAt, joinBytes,
} from './bytes.js';
import {createTextBuffer} from './text-buffer.js';

/** Complete events found in a piece of the stream. */
export type ParsedEvents = {
	/** The events byte for byte, including the terminal event. */
	bytes: Uint8Array;
	tokens: number;
	/** Whether the terminal event was found; bytes after it are discarded. */
	isFinished: boolean;
};

/** Finish reason and usage that the engine reported at the end of a generation. */
export type GenerationEnd = {
	finishReason: string | undefined;
	usage: Record<string, unknown> | undefined;
};

/** Splits the bytes of a generation into events without decoding them. */
export type EventReader = {
	read: (piece: Uint8Array) => ParsedEvents;
	/** Returns the text of all content so far. */
	getText: () => string;
	getTokens: () => number;
	getEnd: () => GenerationEnd;
	/** Returns the number of buffered bytes of an incomplete event. */
	getPartialBytes: () => number;
};

type CompletionChunk = {
	choices?: Array<{finish_reason?: string | undefined}>;
	usage?: Record<string, unknown> | undefined;
};

/** Position of an event in its buffer. No subarray is created per event, as that would cost more than the rest of the parsing. */
type EventRange = {bytes: Uint8Array; start: number; end: number};

const eventSeparator = encodeText('\n\n');
const terminalEvent = encodeText('data: [DONE]');
const dataPrefix = encodeText('data:');
const contentField = encodeText('"content":');
const quoteByte = 0x22;
const backslashByte = 0x5C;
const spaceByte = 0x20;
/** Number of last events that are searched for the finish reason and the usage. */
const maxRecentEvents = 3;

const getStringEnd = (bytes: Uint8Array, from: number, limit: number): number => {
	let position = from;
	while (position < limit && bytes[position] !== quoteByte) {
		position += bytes[position] === backslashByte ? 2 : 1;
	}

	return position;
};

const getContentStart = (bytes: Uint8Array, from: number, limit: number): number | undefined => {
	const fieldStart = findBytes(bytes, contentField, from);
	if (fieldStart === -1 || fieldStart >= limit) {
		return undefined;
	}

	let position = fieldStart + contentField.length;
	while (bytes[position] === spaceByte) {
		position++;
	}

	return bytes[position] === quoteByte ? position + 1 : undefined;
};

const parseCompletionChunk = ({bytes, start, end}: EventRange): CompletionChunk | undefined => {
	try {
		return JSON.parse(decodeText(bytes.subarray(start + dataPrefix.length, end))) as CompletionChunk;
	} catch {
		return undefined;
	}
};

const getGenerationEnd = (recentEvents: EventRange[], eventCount: number): GenerationEnd => {
	const oldestIndex = eventCount % maxRecentEvents;
	const ranges = [...recentEvents.slice(oldestIndex), ...recentEvents.slice(0, oldestIndex)];
	const completionChunks = ranges.map(range => parseCompletionChunk(range)).filter(completion => completion !== undefined);
	const reasons = completionChunks.map(completion => completion.choices?.[0]?.finish_reason);
	const usages = completionChunks.map(completion => completion.usage);
	return {
		finishReason: reasons.findLast(reason => typeof reason === 'string') ?? undefined,
		usage: usages.findLast(usage => typeof usage === 'object' && usage !== null) ?? undefined,
	};
};

/** Creates an event reader for one generation. */
export const createEventReader = (): EventReader => {
	const text = createTextBuffer();
	const recentEvents: EventRange[] = [];
	let eventCount = 0;
	let partialEvent: Uint8Array | undefined;
	let totalTokens = 0;

	/** Appends the content of an event to the text and returns the number of its tokens: one if it has content, otherwise none. */
	const readEvent = (bytes: Uint8Array, start: number, end: number): number => {
		if (!hasBytesAt(bytes, dataPrefix, start)) {
			return 0;
		}

		recentEvents[eventCount % maxRecentEvents] = {bytes, start, end};
		eventCount++;

		const from = getContentStart(bytes, start, end);
		const to = from === undefined ? 0 : getStringEnd(bytes, from, end);
		if (from === undefined || to === from) {
			return 0;
		}

		text.append(bytes, from, to);
		return 1;
	};

	return {
		read(piece) {
			const bytes = partialEvent === undefined ? piece : joinBytes([partialEvent, piece]);
			let start = 0;
			let tokens = 0;
			let isFinished = false;
			for (let end = findBytes(bytes, eventSeparator, 0); end !== -1 && !isFinished; end = findBytes(bytes, eventSeparator, start)) {
				isFinished = hasBytesAt(bytes, terminalEvent, start);
				tokens += isFinished ? 0 : readEvent(bytes, start, end);
				start = end + eventSeparator.length;
			}

			partialEvent = start === bytes.length || isFinished ? undefined : bytes.subarray(start);
			totalTokens += tokens;
			return {bytes: bytes.subarray(0, start), tokens, isFinished};
		},
		getText: text.getText,
		getTokens: () => totalTokens,
		getEnd: () => getGenerationEnd(recentEvents, eventCount),
		getPartialBytes: () => partialEvent?.length ?? 0,
	};
};
