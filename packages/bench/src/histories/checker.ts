import type {Claim} from '@gentianlift/types';
import type {History, HistoryEvent, ServiceWrite} from './history.js';

/** Result of checking one guarantee: the number of checked items and a description of each violation. */
export type GuaranteeResult = {name: string; checked: number; violations: string[]};

type ExecutionEvent = Extract<HistoryEvent, {kind: 'ran'}>;
type AnswerEvent = Extract<HistoryEvent, {kind: 'told'}>;
type ClaimWrite = {at: number; identity: string; claim: Claim};

const maxShownCharacters = 60;
const claimSlotKeyPattern = /^claims\/[tu]\//v;

const getExecutions = ({events}: History): ExecutionEvent[] => events.filter(event => event.kind === 'ran');
const getAnswerEvents = ({events}: History): AnswerEvent[] => events.filter(event => event.kind === 'told');

const groupBy = <Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> => {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
};

const getClaimWrites = (writes: readonly ServiceWrite[]): ClaimWrite[] => writes.flatMap(({at, key, value}) => {
	if (!claimSlotKeyPattern.test(key) || value === undefined) {
		return [];
	}

	const {claims} = JSON.parse(value) as {claims: Record<string, Claim>};
	return Object.entries(claims).map(([identity, claim]) => ({at, identity, claim}));
});

const checkItems = <Item>(name: string, items: readonly Item[], getViolation: (item: Item) => string | undefined): GuaranteeResult => ({
	name,
	checked: items.length,
	violations: items.map(item => getViolation(item)).filter(text => text !== undefined),
});

const checkAtMostOnce = (history: History): GuaranteeResult => {
	const executions = groupBy(getExecutions(history), ({booking}) => booking);
	return checkItems('a booking runs at most once', [...executions], ([booking, items]) =>
		items.length > 1 ? `${booking} ran as ${items.map(({request}) => request).join(' and ')}` : undefined);
};

const checkNotRunAnswers = (history: History): GuaranteeResult => {
	const requests = new Set(getExecutions(history).map(({request}) => request));
	const answers = getAnswerEvents(history).filter(({answer}) => answer.ran === 'not-run');
	return checkItems('what was told not run did not run', answers, ({request}) => requests.has(request) ? `${request} ran` : undefined);
};

const checkAnswerBodies = (history: History): GuaranteeResult => {
	const bodies = groupBy(getExecutions(history), ({booking}) => booking);
	const answers = getAnswerEvents(history).filter(({answer}) => answer.body !== undefined);
	return checkItems('an answer is the whole answer of its own booking', answers, ({request, booking, answer}) => {
		const hasMatchingBody = bodies.get(booking)?.some(({body}) => body === answer.body) ?? false;
		return hasMatchingBody ? undefined : `${request} of ${booking} got ${answer.body}`;
	});
};

const checkRequestBodies = (history: History): GuaranteeResult => {
	const sentDigests = new Map(history.events.filter(event => event.kind === 'sent').map(({request, digest}) => [request, digest]));
	return checkItems('a run has the body that its request sent', getExecutions(history), ({request, digest}) =>
		sentDigests.get(request) === digest ? undefined : `${request} ran with ${digest}`);
};

/** Whether a stored outcome changed in a way that is not allowed. A claim may get its outcome, and after `not-run` another request may claim the booking. */
const isOutcomeChange = (before: Claim, after: Claim): boolean => {
	if (before.outcome.kind === 'claimed') {
		return false;
	}

	if (before.outcome.kind === 'not-run') {
		return before.request === after.request && after.outcome.kind !== 'not-run';
	}

	return before.request !== after.request || JSON.stringify(before.outcome) !== JSON.stringify(after.outcome);
};

const checkStoredOutcomes = (history: History): GuaranteeResult => {
	const groups = groupBy(getClaimWrites(history.writes), ({identity}) => identity);
	return checkItems('a stored outcome never changes', [...groups], ([identity, items]) => {
		const hasChanged = items.some(({claim}, index) => index > 0 && isOutcomeChange(items[index - 1]!.claim, claim));
		return hasChanged ? `the outcome of ${identity} changed` : undefined;
	});
};

const checkClaimBeforeExecution = (history: History): GuaranteeResult => {
	const firstClaim = new Map<string, number>();
	for (const {at, claim} of getClaimWrites(history.writes)) {
		if (!firstClaim.has(claim.request)) {
			firstClaim.set(claim.request, at);
		}
	}

	return checkItems('a claim is stored before its request runs', getExecutions(history), ({request, at}) =>
		(firstClaim.get(request) ?? Number.POSITIVE_INFINITY) <= at ? undefined : `${request} ran without a claim`);
};

const checkSettlements = (history: History): GuaranteeResult => {
	const lastClaims = new Map(getClaimWrites(history.writes).map(({identity, claim}) => [identity, claim]));
	const unsettledRequests = new Set([...lastClaims.values()].filter(({outcome}) => outcome.kind === 'claimed').map(({request}) => request));
	return checkItems('an end that its host saw is stored', history.expectedSettlements, ({request}) =>
		unsettledRequests.has(request) ? `${request} is still claimed` : undefined);
};

/** Checks that a whole streamed answer equals the expected one and that a truncated one is a prefix of it: no missing or repeated part, nothing from another request's answer. */
const checkStreamedAnswers = (history: History): GuaranteeResult => {
	const answers = history.events.filter(event => event.kind === 'answered');
	return checkItems('a streamed answer is its own, whole or marked as cut', answers, ({request, isWhole, text, expected}) => {
		const isCorrect = isWhole ? text === expected : expected.startsWith(text);
		return isCorrect ? undefined : `${request} got "${text.slice(0, maxShownCharacters)}" of ${text.length} characters for ${expected.length}`;
	});
};

/** Checks a history against the guarantees for bookings. */
export const checkHistory = (history: History): GuaranteeResult[] => [
	checkAtMostOnce(history),
	checkNotRunAnswers(history),
	checkAnswerBodies(history),
	checkRequestBodies(history),
	checkStoredOutcomes(history),
	checkClaimBeforeExecution(history),
	checkSettlements(history),
];

/** Checks a history that contains streamed chat answers as well as bookings. */
export const checkMixedHistory = (history: History): GuaranteeResult[] => [...checkHistory(history), checkStreamedAnswers(history)];

/** Merges the results of several histories by guarantee. */
export const mergeResults = (results: GuaranteeResult[][]): GuaranteeResult[] => {
	const totals = new Map<string, GuaranteeResult>();
	for (const {name, checked, violations} of results.flat()) {
		const total = totals.get(name) ?? {name, checked: 0, violations: []};
		totals.set(name, {name, checked: total.checked + checked, violations: [...total.violations, ...violations]});
	}

	return [...totals.values()];
};
