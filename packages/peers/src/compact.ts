/**
Field names that are sent as numbers in messages between hosts.

A name's number is its index in this list, in base 36. Both ends must agree on it, so names may only be appended.
*/
export const numberedNames = [
	'host',
	'incarnation',
	'group',
	'sequence',
	'asks',
	'ends',
	'held',
	'request',
	'attempt',
	'customer',
	'weight',
	'className',
	'rank',
	'slack',
	'waited',
	'expectedTokens',
	'promptTokens',
	'needs',
	'prefix',
	'avoid',
	'isolated',
	'idempotent',
	'fingerprint',
	'yields',
	'resumed',
	'kind',
	'tokens',
	'firstTokenAfter',
	'duration',
	'crashed',
	'owner',
	'decisions',
	'upstream',
	'priority',
	'expectedWait',
	'reason',
	'retryAfter',
	'ticket',
	'wanted',
	'limits',
	'limit',
	'used',
	'shares',
	'allowed',
	'key',
	'digest',
	'outcome',
	'claim',
	'claimedAt',
	'status',
	'contentType',
	'body',
	'stored',
] as const;

/** First character of an encoded field name. */
const marker = '~';
const radix = 36;

const numberByName = new Map<string, string>(numberedNames.map((name, index) => [name, `${marker}${index.toString(radix)}`]));
const nameByNumber = new Map<string, string>([...numberByName].map(([name, encoded]) => [encoded, name]));

/**
Encodes a field name.
A name that starts with the marker and isn't in the list gets a second marker, so that it isn't decoded as a number.
*/
const encodeName = (name: string): string => numberByName.get(name) ?? (name.startsWith(marker) ? `${marker}${marker}${name.slice(1)}` : name);

const decodeName = (encoded: string): string => {
	if (encoded.startsWith(`${marker}${marker}`)) {
		return encoded.slice(1);
	}

	const name = nameByNumber.get(encoded);
	if (name === undefined && encoded.startsWith(marker)) {
		throw new TypeError(`The field number ${encoded} is unknown to this version of the router.`);
	}

	return name ?? encoded;
};

const renameFields = (value: unknown, rename: (name: string) => string): unknown => {
	if (Array.isArray(value)) {
		return value.map(item => renameFields(item, rename));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const fields = Object.entries(value).filter(([, field]) => field !== undefined);
	return Object.fromEntries(fields.map(([name, field]) => [rename(name), renameFields(field, rename)]));
};

/** Codec of messages between hosts: it sends known field names as short numbers. `deserialize` throws a `TypeError` for an unknown number. */
export const compactCodec = {
	serialize: (value: unknown): unknown => renameFields(value, encodeName),
	deserialize: (value: unknown): unknown => renameFields(value, decodeName),
};
