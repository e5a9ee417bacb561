import type {ClassName} from '@gentianlift/types';
import {sumCounters} from './counters.js';
import type {RunResult} from './run.js';

/** Metrics of one run. */
export type RunSummary = {
	/** Ratio of each class's requests that met all their targets. */
	attainment: Map<ClassName, number>;
	/** Chat answers within their targets per second of load. */
	goodput: number;
	/** Ratio of the generated tokens that were not delivered as part of a complete answer. */
	wastedRatio: number;
	/** Grants to a lower tier while a request of a higher tier that could run there was queued, except grants under a guaranteed floor. */
	grantsPastHigherTier: number;
	/** Requests shed by admission control (estimated wait, queue length or queue age) while a lower tier was queued in their group. */
	shedsPastLowerTier: number;
	/** Grants under a guaranteed floor while a request of a higher tier was queued. */
	floorGrants: number;
	yields: number;
	wrong: number;
	duplicatedBookings: number;
	/** Messages and bytes of grant exchanges between hosts, per request. */
	messagesPerRequest: number;
	bytesPerRequest: number;
};

const admissionShedReasons = ['outranked', 'queue-full', 'queue-age'];

/** Computes the metrics of a run. */
export const createSummary = ({run, report, records, counters, configuration}: RunResult): RunSummary => {
	const chatClasses = new Set(configuration.rules.classes.filter(({match}) => match.models !== undefined).map(({name}) => name));
	const classes = report.classes.filter(({sent}) => sent > 0);
	let attained = 0;
	let [generatedTokens, wastedTokens, wrong] = [0, 0, 0];
	for (const entry of classes) {
		wrong += entry.wrong;
		if (chatClasses.has(entry.className)) {
			attained += entry.attainment * entry.sent;
			wastedTokens += entry.wasted;
			generatedTokens += entry.wastedShare === 0 ? countCompletedTokens(records, entry.className) : entry.wasted / entry.wastedShare;
		}
	}

	return {
		attainment: new Map(classes.map(({className, attainment}) => [className, attainment])),
		goodput: attained / run.seconds,
		wastedRatio: generatedTokens === 0 ? 0 : wastedTokens / generatedTokens,
		grantsPastHigherTier: sumCounters(counters, 'grants_past_higher', 'by="other"'),
		shedsPastLowerTier: admissionShedReasons.reduce((sum, reason) => sum + sumCounters(counters, 'sheds_while_lower_waits', `reason="${reason}"`), 0),
		floorGrants: sumCounters(counters, 'grants_past_higher', 'by="floor"'),
		yields: sumCounters(counters, 'yields'),
		wrong,
		duplicatedBookings: report.doubled,
		messagesPerRequest: sumCounters(counters, 'grant_messages') / Math.max(1, records.length),
		bytesPerRequest: sumCounters(counters, 'grant_bytes') / Math.max(1, records.length),
	};
};

const countCompletedTokens = (records: RunResult['records'], className: ClassName): number => {
	let tokens = 0;
	for (const record of records) {
		tokens += record.className === className && record.outcome === 'complete' ? record.tokens : 0;
	}

	return tokens;
};

const formatPercent = (ratio: number): string => `${(ratio * 100).toFixed(1)} %`;

/** Formats the name of a run for tables. */
export const formatRunName = ({run}: Pick<RunResult, 'run'>): string => {
	const without = run.without.length === 0 ? '' : `, without ${run.without.join(' and ')}`;
	const only = run.only === undefined ? '' : `, only ${run.only.join(' and ')}`;
	const faults = run.faults === 'none' ? '' : `, ${run.faults}`;
	return `${run.deployment}, ${run.load} times capacity, ${run.order}, ${run.hosts} hosts${faults}${without}${only}`;
};

/** Formats a Markdown table of the runs' metrics. */
export const formatTable = (results: readonly RunResult[]): string => {
	const summaries = results.map(result => ({result, summary: createSummary(result)}));
	const classes = [...new Set(summaries.flatMap(({summary}) => [...summary.attainment.keys()]))];
	const head = ['run', ...classes, 'goodput/s', 'wasted', 'overtaken', 'shed past lower', 'floor grants', 'yields', 'wrong', 'doubled', 'messages', 'bytes'];
	const rows = summaries.map(({result, summary}) => [
		formatRunName(result),
		...classes.map(name => summary.attainment.has(name) ? formatPercent(summary.attainment.get(name) ?? 0) : ''),
		summary.goodput.toFixed(2),
		formatPercent(summary.wastedRatio),
		...[summary.grantsPastHigherTier, summary.shedsPastLowerTier, summary.floorGrants, summary.yields, summary.wrong, summary.duplicatedBookings].map(String),
		summary.messagesPerRequest.toFixed(2),
		summary.bytesPerRequest.toFixed(0),
	]);
	return [head, head.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n');
};

/** Formats a line with the number of errors by class and kind. */
export const formatErrors = (records: RunResult['records']): string => {
	const counts = new Map<string, number>();
	for (const {className, errors} of records) {
		for (const error of errors) {
			counts.set(`${className} ${error}`, (counts.get(`${className} ${error}`) ?? 0) + 1);
		}
	}

	return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
};
