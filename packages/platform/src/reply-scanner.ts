import {Buffer} from 'node:buffer';
import {findStringEnd, isJsonObject, jsonSyntax} from '@gentianlift/types';
import {
	isOversized, maxReplySize, OversizedReplyError, type ReplySize,
} from './reply-size.js';

/** What becomes of an item of a list: one that is `kept` takes so many bytes, one that is `dropped` takes nothing, and an `invalid` one is none of the list, so that many of them make the reply too large. */
export type ItemOutcome
	= | {kind: 'kept'; item: unknown; bytes: number}
		| {kind: 'dropped'}
		| {kind: 'invalid'};

/** Decides what becomes of a parsed item. */
export type ItemReader = (item: unknown) => ItemOutcome;

/** Body of a reply, parsed, and its size. */
export type ReplyBody = {body: unknown; size: ReplySize};

/** Reads a reply as its bytes arrive. */
export type ReplyScanner = {
	/** Takes the next bytes; throws `OversizedReplyError` if the reply holds more than it may, and the error of the parser for an item that isn't JSON. */
	push: (chunk: Uint8Array) => void;
	/** Returns the body after the last bytes; throws if it isn't JSON. Of the list, it has the kept items. */
	end: () => ReplyBody;
};

/** Options of a scanner. */
export type ReplyScannerOptions = {
	/** List in the object of the reply whose items are read one at a time. Absent if the body is read whole. */
	list?: {field: string; read: ItemReader};
	/** Called with the number of bytes that the reply holds in memory, whenever it changes. */
	onHeld: (bytes: number) => void;
};

/** Read for each byte. */
const syntax = jsonSyntax;

/** Room for a reply before its first bytes. */
const initialRoom = 16 * 1024;
/** Depth of the fields of the reply's object, and that of the items of a list in it. */
const depths = {fields: 1, items: 2} as const;

/**
Creates a scanner of one reply. It holds the bytes of one item at a time, what is kept of the items before, and the text around the list, which together may have the size of a reply.

What a reply takes when it is parsed depends on the number of its values, so that they are counted before: each but the first follows a comma or opens a list or an object.
*/
export const createReplyScanner = ({list, onHeld}: ReplyScannerOptions): ReplyScanner => {
	/** Holds the bytes from `start`, that of the current item or of the text around the list, to `length`; those before `index` are scanned. */
	let buffer = Buffer.alloc(0);
	let [start, index, length] = [0, 0, 0];
	/** The part of the buffer that holds bytes. */
	let filled = buffer;
	let depth = 0;
	/** Start of the string in which the next byte lies. */
	let stringStart: number | undefined;
	/** Whether the last string among the fields is the name of the list, and whether the value that follows is the list's. */
	let [isNamed, isListNext] = [false, false];
	let [isInList, hasList, hasItems] = [false, false, false];
	/** Values of the current item, or of the text around the list since its last part. */
	let values = 1;
	let totalBytes = 0;
	/** Size of what is held for good: the text around the list, and the items that are kept. */
	const held: ReplySize = {bytes: 0, values: 0};
	const outerText: string[] = [];
	const items: unknown[] = [];

	const refuseOversized = (): void => {
		const size = {bytes: held.bytes + length - start, values: held.values + values};
		if (isOversized(size, maxReplySize)) {
			throw new OversizedReplyError();
		}
	};

	const hold = (bytes: number): void => {
		held.bytes += bytes;
		held.values += values;
		values = 0;
		onHeld(buffer.length + held.bytes);
	};

	/** Moves the bytes that are still needed to the beginning, in a larger buffer if they leave no room for so many more. */
	const makeRoom = (added: number): void => {
		const needed = length - start + added;
		const target = needed > buffer.length ? Buffer.allocUnsafeSlow(Math.min(maxReplySize.bytes - held.bytes, Math.max(initialRoom, needed, 2 * buffer.length))) : buffer;
		buffer.copy(target, 0, start, length);
		buffer = target;
		[index, length] = [index - start, length - start];
		stringStart = stringStart === undefined ? undefined : stringStart - start;
		start = 0;
		onHeld(buffer.length + held.bytes);
	};

	const endOuterText = (end: number): void => {
		outerText.push(buffer.toString('utf8', start, end));
		hold(end - start);
		start = end;
	};

	/** Reads the item that ends before the index; an empty list has none. */
	const endItem = (isLast: boolean): void => {
		const text = buffer.toString('utf8', start, index);
		start = index + 1;
		if (isLast && !hasItems && text.trim() === '') {
			return;
		}

		hasItems = true;
		const outcome = list?.read(JSON.parse(text)) ?? {kind: 'invalid'};
		switch (outcome.kind) {
			case 'kept': {
				items.push(outcome.item);
				hold(outcome.bytes);
				break;
			}

			case 'dropped': {
				values = 0;
				break;
			}

			case 'invalid': {
				hold(0);
				break;
			}
		}

		refuseOversized();
	};

	const open = (byte: number): void => {
		values += 1;
		depth += 1;
		if (byte === syntax.openBracket && depth === depths.items && isListNext) {
			endOuterText(index + 1);
			[isInList, hasList] = [true, true];
			values = 1;
		}
	};

	const close = (): void => {
		if (isInList && depth === depths.items) {
			endItem(true);
			start = index;
			isInList = false;
			isListNext = false;
			values = 0;
		}

		depth -= 1;
	};

	const separate = (): void => {
		if (isInList && depth === depths.items) {
			endItem(false);
		} else if (depth === depths.fields) {
			isListNext = false;
		}

		values += 1;
	};

	/** Scans a string up to its end, or to that of the bytes that have come. */
	const scanString = (from: number): void => {
		const end = findStringEnd(filled, from, index);
		if (end === -1) {
			index = length;
			return;
		}

		isNamed = depth === depths.fields && end - from === list?.field.length && buffer.toString('latin1', from, end) === list.field;
		stringStart = undefined;
		index = end + 1;
	};

	const scanByte = (): void => {
		const byte = buffer[index] ?? 0;
		switch (byte) {
			case syntax.quote: {
				stringStart = index + 1;
				break;
			}

			case syntax.openBracket:
			case syntax.openBrace: {
				open(byte);
				break;
			}

			case syntax.closeBracket:
			case syntax.closeBrace: {
				close();
				break;
			}

			case syntax.comma: {
				separate();
				break;
			}

			case syntax.colon: {
				isListNext = depth === depths.fields && isNamed;
				break;
			}

			default: {
				break;
			}
		}

		index += 1;
	};

	/** Returns the body with the items that are kept. A list under another spelling of the name has been read by nobody. */
	const insertItems = (body: unknown, field: string): unknown => {
		if (hasList) {
			return {...body as Record<string, unknown>, [field]: items};
		}

		if (isJsonObject(body) && Array.isArray(body[field])) {
			throw new SyntaxError('list under an escaped name');
		}

		return body;
	};

	const scan = (): void => {
		// eslint-disable-next-line no-unmodified-loop-condition -- The calls modify the index.
		while (index < length) {
			if (stringStart === undefined) {
				scanByte();
			} else {
				scanString(stringStart);
			}
		}
	};

	return {
		push(chunk) {
			totalBytes += chunk.length;
			if (held.bytes + length - start + chunk.length > maxReplySize.bytes) {
				throw new OversizedReplyError();
			}

			if (length + chunk.length > buffer.length) {
				makeRoom(chunk.length);
			}

			buffer.set(chunk, length);
			length += chunk.length;
			filled = buffer.subarray(0, length);
			scan();
			refuseOversized();
		},
		end() {
			const size = {bytes: totalBytes, values: held.values + values};
			endOuterText(length);
			const text = outerText.join('');
			const body = text === '' ? undefined : JSON.parse(text) as unknown;
			return {body: list === undefined ? body : insertItems(body, list.field), size};
		},
	};
};
