import type {Claim} from '@gentianlift/types';
import type {History, HistoryEvent, ServiceWrite} from './history.js';

/** How often a promise was put to the test, and each time it was broken. */
export type PromiseCount = {name: string; checked: number; violations: string[]};

type Ran = Extract<HistoryEvent, {kind: 'ran'}>;
type Told = Extract<HistoryEvent, {kind: 'told'}>;
type ClaimWrite = {at: number; identity: string; claim: Claim};

const shownText = 60;
const slotPattern = /^claims\/[tu]\//v;

const getRuns = ({events}: History): Ran[] => events.filter(event => event.kind === 'ran');
const getTold = ({events}: History): Told[] => events.filter(event => event.kind === 'told');

const groupBy = <Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> => {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
};

const getClaims = (writes: readonly ServiceWrite[]): ClaimWrite[] => writes.flatMap(({at, key, value}) => {
	if (!slotPattern.test(key) || value === undefined) {
		return [];
	}

	const {claims} = JSON.parse(value) as {claims: Record<string, Claim>};
	return Object.entries(claims).map(([identity, claim]) => ({at, identity, claim}));
});

const count = <Item>(name: string, items: readonly Item[], getViolation: (item: Item) => string | undefined): PromiseCount => ({
	name,
	checked: items.length,
	violations: items.map(item => getViolation(item)).filter(text => text !== undefined),
});

const checkOnce = (history: History): PromiseCount => {
	const runs = groupBy(getRuns(history), ({booking}) => booking);
	return count('a booking runs at most once', [...runs], ([booking, items]) =>
		items.length > 1 ? `${booking} ran as ${items.map(({request}) => request).join(' and ')}` : undefined);
};

const checkNotRun = (history: History): PromiseCount => {
	const requests = new Set(getRuns(history).map(({request}) => request));
	const told = getTold(history).filter(({answer}) => answer.ran === 'not-run');
	return count('what was told not run did not run', told, ({request}) => requests.has(request) ? `${request} ran` : undefined);
};

const checkOwnAnswer = (history: History): PromiseCount => {
	const bodies = groupBy(getRuns(history), ({booking}) => booking);
	const told = getTold(history).filter(({answer}) => answer.body !== undefined);
	return count('an answer is the whole answer of its own booking', told, ({request, booking, answer}) => {
		const isOwn = bodies.get(booking)?.some(({body}) => body === answer.body) ?? false;
		return isOwn ? undefined : `${request} of ${booking} got ${answer.body}`;
	});
};

const checkBody = (history: History): PromiseCount => {
	const sent = new Map(history.events.filter(event => event.kind === 'sent').map(({request, digest}) => [request, digest]));
	return count('a run has the body that its request sent', getRuns(history), ({request, digest}) =>
		sent.get(request) === digest ? undefined : `${request} ran with ${digest}`);
};

const isChange = (before: Claim, after: Claim): boolean => {
	if (before.outcome.kind === 'claimed') {
		return false;
	}

	if (before.outcome.kind === 'not-run') {
		return before.request === after.request && after.outcome.kind !== 'not-run';
	}

	return before.request !== after.request || JSON.stringify(before.outcome) !== JSON.stringify(after.outcome);
};

const checkOutcomes = (history: History): PromiseCount => {
	const groups = groupBy(getClaims(history.writes), ({identity}) => identity);
	return count('a stored outcome never changes', [...groups], ([identity, items]) => {
		const changed = items.some(({claim}, index) => index > 0 && isChange(items[index - 1]!.claim, claim));
		return changed ? `the outcome of ${identity} changed` : undefined;
	});
};

const checkClaimFirst = (history: History): PromiseCount => {
	const firstClaim = new Map<string, number>();
	for (const {at, claim} of getClaims(history.writes)) {
		if (!firstClaim.has(claim.request)) {
			firstClaim.set(claim.request, at);
		}
	}

	return count('a claim is stored before its request runs', getRuns(history), ({request, at}) =>
		(firstClaim.get(request) ?? Number.POSITIVE_INFINITY) <= at ? undefined : `${request} ran without a claim`);
};

const checkSettled = (history: History): PromiseCount => {
	const last = new Map(getClaims(history.writes).map(({identity, claim}) => [identity, claim]));
	const open = new Set([...last.values()].filter(({outcome}) => outcome.kind === 'claimed').map(({request}) => request));
	return count('an end that its host saw is stored', history.settled, ({request}) =>
		open.has(request) ? `${request} is still claimed` : undefined);
};

/** An answer that was cut short is a beginning of the right one: without a gap, a repeat, or anything of another's. */
const checkStreams = (history: History): PromiseCount => {
	const answers = history.events.filter(event => event.kind === 'answered');
	return count('a streamed answer is its own, whole or marked as cut', answers, ({request, isWhole, text, expected}) => {
		const isRight = isWhole ? text === expected : expected.startsWith(text);
		return isRight ? undefined : `${request} got "${text.slice(0, shownText)}" of ${text.length} characters for ${expected.length}`;
	});
};

/** Checks a history against the promises about bookings. */
export const checkHistory = (history: History): PromiseCount[] => [
	checkOnce(history),
	checkNotRun(history),
	checkOwnAnswer(history),
	checkBody(history),
	checkOutcomes(history),
	checkClaimFirst(history),
	checkSettled(history),
];

/** Checks a history that has questions beside bookings. */
export const checkMixedHistory = (history: History): PromiseCount[] => [...checkHistory(history), checkStreams(history)];

/** Adds the counts of several histories. */
export const addCounts = (all: PromiseCount[][]): PromiseCount[] => {
	const totals = new Map<string, PromiseCount>();
	for (const {name, checked, violations} of all.flat()) {
		const total = totals.get(name) ?? {name, checked: 0, violations: []};
		totals.set(name, {name, checked: total.checked + checked, violations: [...total.violations, ...violations]});
	}

	return [...totals.values()];
};
