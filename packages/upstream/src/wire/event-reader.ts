import {
	decodeText, encodeText, findBytes, hasBytesAt, joinBytes,
} from './bytes.js';
import {createTextBuffer} from './text-buffer.js';

/** Whole events found in the bytes so far. */
export type Events = {
	/** The events as they came, the terminal one included. */
	bytes: Uint8Array;
	tokens: number;
	/** True once the terminal event was found; bytes after it are dropped. */
	isFinished: boolean;
};

/** How the engine says that the generation ended. */
export type GenerationEnd = {
	finishReason: string | undefined;
	usage: Record<string, unknown> | undefined;
};

/** Finds whole events in the bytes of a generation without decoding them. */
export type EventReader = {
	read: (piece: Uint8Array) => Events;
	/** Text of all content so far. */
	getText: () => string;
	getTokens: () => number;
	getEnd: () => GenerationEnd;
	/** Bytes held of an event that isn't whole. */
	getPartialBytes: () => number;
};

type Completion = {
	choices?: Array<{finish_reason?: string | undefined}>;
	usage?: Record<string, unknown> | undefined;
};

/** Where an event lies, without a view on it, which would cost more than the rest of the reading. */
type Place = {bytes: Uint8Array; start: number; end: number};

const boundary = encodeText('\n\n');
const terminalEvent = encodeText('data: [DONE]');
const dataPrefix = encodeText('data:');
const contentField = encodeText('"content":');
const quote = 0x22;
const backslash = 0x5C;
const space = 0x20;
/** Events at the end of a generation that may hold its finish reason and usage. */
const keptEvents = 3;

const getStringEnd = (bytes: Uint8Array, from: number, limit: number): number => {
	let at = from;
	while (at < limit && bytes[at] !== quote) {
		at += bytes[at] === backslash ? 2 : 1;
	}

	return at;
};

const getContentStart = (bytes: Uint8Array, from: number, limit: number): number | undefined => {
	const field = findBytes(bytes, contentField, from);
	if (field === -1 || field >= limit) {
		return undefined;
	}

	let at = field + contentField.length;
	while (bytes[at] === space) {
		at++;
	}

	return bytes[at] === quote ? at + 1 : undefined;
};

const parseCompletion = ({bytes, start, end}: Place): Completion | undefined => {
	try {
		return JSON.parse(decodeText(bytes.subarray(start + dataPrefix.length, end))) as Completion;
	} catch {
		return undefined;
	}
};

const getGenerationEnd = (last: Place[], count: number): GenerationEnd => {
	const oldest = count % keptEvents;
	const places = [...last.slice(oldest), ...last.slice(0, oldest)];
	const completions = places.map(place => parseCompletion(place)).filter(completion => completion !== undefined);
	const reasons = completions.map(completion => completion.choices?.[0]?.finish_reason);
	const usages = completions.map(completion => completion.usage);
	return {
		finishReason: reasons.findLast(reason => typeof reason === 'string') ?? undefined,
		usage: usages.findLast(usage => typeof usage === 'object' && usage !== null) ?? undefined,
	};
};

/** Creates a reader for one generation. */
export const createEventReader = (): EventReader => {
	const text = createTextBuffer();
	const last: Place[] = [];
	let count = 0;
	let partial: Uint8Array | undefined;
	let total = 0;

	const readEvent = (bytes: Uint8Array, start: number, end: number): number => {
		if (!hasBytesAt(bytes, dataPrefix, start)) {
			return 0;
		}

		last[count % keptEvents] = {bytes, start, end};
		count++;

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
			const bytes = partial === undefined ? piece : joinBytes([partial, piece]);
			let start = 0;
			let tokens = 0;
			let isFinished = false;
			for (let end = findBytes(bytes, boundary, 0); end !== -1 && !isFinished; end = findBytes(bytes, boundary, start)) {
				isFinished = hasBytesAt(bytes, terminalEvent, start);
				tokens += isFinished ? 0 : readEvent(bytes, start, end);
				start = end + boundary.length;
			}

			partial = start === bytes.length || isFinished ? undefined : bytes.subarray(start);
			total += tokens;
			return {bytes: bytes.subarray(0, start), tokens, isFinished};
		},
		getText: text.getText,
		getTokens: () => total,
		getEnd: () => getGenerationEnd(last, count),
		getPartialBytes: () => partial?.length ?? 0,
	};
};
