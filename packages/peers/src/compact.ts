/**
Names of fields in messages between hosts that are sent as a number.

Both ends must have the same list, so names are only ever added at its end.
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

const mark = '~';
const radix = 36;

const numbers = new Map<string, string>(numberedNames.map((name, index) => [name, `${mark}${index.toString(radix)}`]));
const names = new Map<string, string>([...numbers].map(([name, number]) => [number, name]));

/** A marked name that isn't in the list is marked twice, so that it can't be taken for a number. */
const getNumber = (name: string): string => numbers.get(name) ?? (name.startsWith(mark) ? `${mark}${mark}${name.slice(1)}` : name);

const getName = (number: string): string => {
	if (number.startsWith(`${mark}${mark}`)) {
		return number.slice(1);
	}

	const name = names.get(number);
	if (name === undefined && number.startsWith(mark)) {
		throw new TypeError(`The field ${number} isn't known to this version.`);
	}

	return name ?? number;
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

/** Codec of messages between hosts: plain data whose known field names are numbers. `deserialize` throws for a number that isn't known. */
export const compactCodec = {
	serialize: (value: unknown): unknown => renameFields(value, getNumber),
	deserialize: (value: unknown): unknown => renameFields(value, getName),
};
