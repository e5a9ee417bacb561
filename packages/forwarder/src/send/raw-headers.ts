import type {RawHeaders} from '../protocol.js';

/** A header as on the wire. */
export type HeaderField = {name: string; value: string};

/** Hop-by-hop headers, which concern one connection only and are not forwarded. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'proxy-authorization', 'proxy-authenticate',
]);

/** Returns the fields of raw headers, in order. */
export const getFields = (headers: RawHeaders): HeaderField[] => {
	const fields: HeaderField[] = [];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		fields.push({name: headers[index] ?? '', value: headers[index + 1] ?? ''});
	}

	return fields;
};

/** Returns the values of all fields with a name. */
export const getValues = (fields: readonly HeaderField[], lowerCaseName: string): string[] =>
	fields.filter(({name}) => name.toLowerCase() === lowerCaseName).map(({value}) => value);

/** Returns the fields to forward, as raw headers: all but the dropped ones, the hop-by-hop ones and those that a `Connection` header names. */
export const selectEndToEnd = (fields: readonly HeaderField[], dropped: ReadonlySet<string>): string[] => {
	const namedByConnection = new Set(getValues(fields, 'connection').flatMap(value => value.toLowerCase().split(',')).map(name => name.trim()));
	const isSelected = (name: string): boolean => [dropped, hopByHopHeaders, namedByConnection].every(names => !names.has(name));
	return fields.filter(({name}) => isSelected(name.toLowerCase())).flatMap(({name, value}) => [name, value]);
};
