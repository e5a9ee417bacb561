/** Number of characters after which a value in a message is truncated. */
const maxFoundLength = 60;

/** Formats a value that was found in a document, as JSON, truncated; `nothing` if there was none. */
export const formatFound = (value: unknown): string => {
	if (value === undefined) {
		return 'nothing';
	}

	const text = JSON.stringify(value);
	return text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text;
};
