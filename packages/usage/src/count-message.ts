import {
	fieldBounds, isIntegerWithin, isJsonObject, isName, readObjects, type CustomerId, type HostId, type Incarnation, type Milliseconds,
} from '@gentianlift/types';
import type {WindowCounts} from './window-counts.js';

/** Counts of one process of a host. */
export type CountSource = {host: HostId; incarnation: Incarnation};

/** Count of a customer's requests in a window, as one process of a host knows it. */
export type CountItem = CountSource & {window: number; customer: CustomerId; count: number};

/** Counts that a host sends to candidates of the duty. */
export type CountMessage = {
	items: CountItem[];
	/** Set in the last message of a candidate that has sent all counts that it knows: since when these are complete, in true time. */
	completeSince?: Milliseconds;
};

/** Counts of one source and window as they are sent. */
type WireCounts = {host: HostId; incarnation: Incarnation; window: number; counts: Record<CustomerId, number>};

/** Body of a message as it is sent. */
type WireMessage = {sources: WireCounts[]; completeSince?: Milliseconds};

/** Maximum length of the counts of one message, in characters, which leaves room for characters of more than one byte. */
const maxCountsLength = 6000;
/** Highest count that is believed. */
const countBounds = {min: 0, max: 1e12};

/** Lists all counts of a source in windows. */
export const listCounts = (source: CountSource, counts: WindowCounts, windows: Iterable<number>): CountItem[] =>
	[...windows].flatMap(window => [...(counts.get(window) ?? [])].map(([customer, count]) => ({
		...source, window, customer, count,
	})));

const isSameSource = (one: WireCounts, {host, incarnation, window}: CountItem): boolean =>
	one.host === host && one.incarnation === incarnation && one.window === window;

/** Encodes counts as the bodies of as few messages as hold them; those of one source and window must follow each other. */
export const encodeCounts = (items: readonly CountItem[]): WireMessage[] => {
	const messages: WireMessage[] = [];
	let length = Number.POSITIVE_INFINITY;
	let current: WireCounts | undefined;
	for (const item of items) {
		const itemLength = JSON.stringify(item.customer).length + String(item.count).length + 2;
		if (length + itemLength > maxCountsLength) {
			messages.push({sources: []});
			current = undefined;
			length = 0;
		}

		if (current === undefined || !isSameSource(current, item)) {
			const {host, incarnation, window} = item;
			current = {
				host, incarnation, window, counts: {},
			};
			messages.at(-1)?.sources.push(current);
			length += JSON.stringify(current).length;
		}

		current.counts[item.customer] = item.count;
		length += itemLength;
	}

	return messages;
};

/** Reads counts by customer; what isn't a count is left out. */
export const readCounts = (value: unknown): Array<[CustomerId, number]> =>
	isJsonObject(value) ? Object.entries(value).filter((entry): entry is [CustomerId, number] => isName(entry[0]) && isIntegerWithin(entry[1], countBounds)) : [];

/** Decodes the body of a message; what is malformed in it is left out. */
export const decodeCounts = (body: unknown): CountMessage => {
	if (!isJsonObject(body)) {
		return {items: []};
	}

	const items = readObjects(body.sources).flatMap(({
		host, incarnation, window, counts,
	}) => isName(host) && Number.isFinite(incarnation) && isIntegerWithin(window, fieldBounds.version)
		? readCounts(counts).map(([customer, count]): CountItem => ({
			host, incarnation: incarnation as Incarnation, window, customer, count,
		}))
		: []);
	const {completeSince} = body;
	return {items, ...(typeof completeSince === 'number' && Number.isFinite(completeSince) && {completeSince})};
};
