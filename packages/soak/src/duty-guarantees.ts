import type {Milliseconds} from '@gentianlift/types';
import {overlaps, type Observations, type Violation} from './guarantees.js';

/** A call for a duty, as the operators' service has received it. */
export type DutyCall = {
	/** What its holder has the duty for. */
	subject: string;
	holder: string;
	/** Fencing token. */
	token: number;
	at: Milliseconds;
	/** The usage report that it brings; undefined for other calls. */
	report?: {window: number; counts: string} | undefined;
	isAccepted: boolean;
};

/** Minimum time between two calls of a host for a subject if another one has made a call between them. */
export const soakHolderSeparation: Milliseconds = 3000;
/** Settings of the duties of a soak, in milliseconds and seconds as the settings file has them; windows are short, so that a run has many. */
export const dutySettings = {
	callsPerSecond: 50, holderSeparation: soakHolderSeparation, usageWindow: 2, usageDelay: 6,
} as const;

/** Time after a suspension or an outage of the store in which a call may come that was made before. */
const lateCallTime: Milliseconds = 300;

const lateCallFaults = new Set(['host-pause', 'store', 'store-link']);

/** Whether the order of holders isn't judged at a time, as the holder may have been suspended, or the store was down. */
const isExcused = (at: Milliseconds, {disturbances}: Observations): boolean =>
	disturbances.some(disturbance => lateCallFaults.has(disturbance.kind) && overlaps(disturbance, at - lateCallTime, at));

const describe = ({holder, token, at}: DutyCall): string => `${holder} with token ${token} at ${Math.round(at)}`;

const getReports = ({dutyCalls}: Observations): Array<NonNullable<DutyCall['report']>> =>
	dutyCalls.filter(({isAccepted}) => isAccepted).flatMap(({report}) => report ?? []);

/** Returns the number of windows of which a usage report was accepted. */
export const countReportedWindows = (observations: Observations): number => new Set(getReports(observations).map(({window}) => window)).size;

/** Finds windows of which reports with different counts were accepted. */
const checkReports = (observations: Observations): Violation[] => {
	const contents = new Map<number, Set<string>>();
	for (const {window, counts} of getReports(observations)) {
		contents.set(window, (contents.get(window) ?? new Set()).add(counts));
	}

	return [...contents].filter(([, counts]) => counts.size > 1).map(([window, counts]) => ({
		guarantee: 'a window is reported with one content', attempt: `window ${window}`, detail: [...counts].join(' and '),
	}));
};

/** Finds tokens that two holders have used for a subject, whenever that was. */
const checkTokens = (calls: readonly DutyCall[]): Violation[] => {
	const holders = new Map<number, DutyCall>();
	return calls.flatMap(call => {
		const first = holders.get(call.token) ?? call;
		holders.set(call.token, first);
		return first.holder === call.holder ? [] : [{guarantee: 'a token has one holder', attempt: call.subject, detail: `${describe(first)}, ${describe(call)}`}];
	});
};

/** Finds calls with a lower token than an earlier one had. */
const checkOrder = (calls: readonly DutyCall[], observations: Observations): Violation[] => {
	let highest: DutyCall | undefined;
	return calls.flatMap(call => {
		const before = highest;
		highest = before === undefined || call.token > before.token ? call : before;
		return before !== undefined && call.token < before.token && !isExcused(call.at, observations)
			? [{guarantee: 'a token never falls', attempt: call.subject, detail: `${describe(before)}, ${describe(call)}`}]
			: [];
	});
};

/** Finds holders that act again too soon after another one has. */
const checkSeparation = (calls: readonly DutyCall[], observations: Observations): Violation[] => calls.flatMap((call, index) => {
	const own = calls.slice(0, index).findLastIndex(({holder, at}) => holder === call.holder && call.at - at < soakHolderSeparation);
	const between = own === -1 ? undefined : calls.slice(own, index).find(({holder}) => holder !== call.holder);
	return between === undefined || isExcused(call.at, observations)
		? []
		: [{guarantee: 'a holder returns only after the separation', attempt: call.subject, detail: `${describe(between)}, ${describe(call)}`}];
});

/** Finds broken guarantees of the duties in what the operators' service has received. */
export const checkDuties = (observations: Observations): Violation[] => {
	const subjects = [...new Set(observations.dutyCalls.map(({subject}) => subject))];
	return [...checkReports(observations), ...subjects.flatMap(subject => {
		const calls = observations.dutyCalls.filter(call => call.subject === subject);
		return [...checkTokens(calls), ...checkOrder(calls, observations), ...checkSeparation(calls, observations)];
	})];
};
