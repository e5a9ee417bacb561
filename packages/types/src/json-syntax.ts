/** Characters of the JSON syntax, which are bytes of its UTF-8 text, too. */
export const jsonSyntax = {
	quote: 0x22, comma: 0x2C, colon: 0x3A, openBracket: 0x5B, backslash: 0x5C, closeBracket: 0x5D, openBrace: 0x7B, closeBrace: 0x7D,
} as const;

const getCode = (text: string | Uint8Array, index: number): number | undefined => typeof text === 'string' ? text.codePointAt(index) : text[index];

const findQuote = (text: string | Uint8Array, from: number): number => typeof text === 'string' ? text.indexOf('"', from) : text.indexOf(jsonSyntax.quote, from);

/** Returns the index of the quote that ends a string which began at `start` and has been searched up to `from`; -1 if its end isn't there. */
export const findStringEnd = (text: string | Uint8Array, start: number, from: number): number => {
	let end = findQuote(text, from);
	while (end !== -1) {
		let beforeEscapes = end - 1;
		while (beforeEscapes >= start && getCode(text, beforeEscapes) === jsonSyntax.backslash) {
			beforeEscapes--;
		}

		const isEscaped = (end - beforeEscapes) % 2 === 0;
		if (!isEscaped) {
			return end;
		}

		end = findQuote(text, end + 1);
	}

	return -1;
};

/** Called with each character of the syntax outside of strings and with each string, and the index of its first and of its last character. */
type Visit = (character: number, first: number, last: number) => void;

/** Goes through the text of a JSON document without parsing it, until `isDone`. */
const visitSyntax = (text: string, visit: Visit, isDone: () => boolean): void => {
	for (let index = 0; index < text.length && !isDone(); index++) {
		const character = text.codePointAt(index) ?? 0;
		if (character === jsonSyntax.quote) {
			const end = findStringEnd(text, index + 1, index + 1);
			visit(character, index, end);
			index = end === -1 ? text.length : end;
		} else {
			visit(character, index, index);
		}
	}
};

/** Whether a JSON text may have more values than a limit: each but the first follows a comma or opens a list or an object. */
export const hasMoreValues = (text: string, limit: number): boolean => {
	if (text.length < limit) {
		return false;
	}

	let values = 1;
	visitSyntax(text, character => {
		values += character === jsonSyntax.comma || character === jsonSyntax.openBracket || character === jsonSyntax.openBrace ? 1 : 0;
	}, () => values > limit);
	return values > limit;
};

/** Returns the text of an object with those of its fields that are named, spelled without escapes. What the others hold isn't checked but for its brackets. */
export const cutFields = (text: string, names: ReadonlySet<string>): string => {
	const fields: string[] = [];
	let depth = 0;
	let name: string | undefined;
	let valueStart: number | undefined;

	const endField = (end: number): void => {
		if (name !== undefined && valueStart !== undefined && names.has(name)) {
			fields.push(`"${name}":${text.slice(valueStart, end)}`);
		}

		[name, valueStart] = [undefined, undefined];
	};

	visitSyntax(text, (character, first, last) => {
		switch (character) {
			case jsonSyntax.quote: {
				if (depth === 1 && valueStart === undefined) {
					name = text.slice(first + 1, last);
				}

				break;
			}

			case jsonSyntax.colon: {
				if (depth === 1) {
					valueStart ??= first + 1;
				}

				break;
			}

			case jsonSyntax.openBracket:
			case jsonSyntax.openBrace: {
				depth += 1;
				break;
			}

			case jsonSyntax.closeBracket:
			case jsonSyntax.closeBrace: {
				if (depth === 1) {
					endField(first);
				}

				depth -= 1;
				break;
			}

			case jsonSyntax.comma: {
				if (depth === 1) {
					endField(first);
				}

				break;
			}

			default: {
				break;
			}
		}
	}, () => false);
	// Brackets that don't match leave a text that is no object.
	return depth === 0 ? `{${fields.join(',')}}` : '';
};
