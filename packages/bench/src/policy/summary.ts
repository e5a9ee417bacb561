import type {ClassName} from '@gentianlift/types';
import {getSum} from './counters.js';
import type {RunResult} from './run.js';

/** Figures of one run. */
export type Summary = {
	/** Share of each class's requests that met all targets. */
	attainment: Map<ClassName, number>;
	/** Answers within target for each second of load, chats only. */
	goodput: number;
	/** Share of the generated tokens that reached no caller as part of a whole answer. */
	wasted: number;
	/** Grants to a lower tier while a higher one waited that could run there, and not for a floor. */
	overtaken: number;
	/** Requests refused by estimate or for room while a lower tier waited in their group. */
	shedPastLower: number;
	floorGrants: number;
	yields: number;
	wrong: number;
	doubled: number;
	/** Messages and bytes of grants between hosts for each request. */
	messagesPerRequest: number;
	bytesPerRequest: number;
};

const estimateReasons = ['outranked', 'queue-full', 'queue-age'];

/** Gets the figures of a run. */
export const getSummary = ({run, report, records, counters, configuration}: RunResult): Summary => {
	const chats = new Set(configuration.rules.classes.filter(({match}) => match.models !== undefined).map(({name}) => name));
	const classes = report.classes.filter(({sent}) => sent > 0);
	let attained = 0;
	let [work, wasted, wrong] = [0, 0, 0];
	for (const entry of classes) {
		wrong += entry.wrong;
		if (chats.has(entry.className)) {
			attained += entry.attainment * entry.sent;
			wasted += entry.wasted;
			work += entry.wastedShare === 0 ? getTokens(records, entry.className) : entry.wasted / entry.wastedShare;
		}
	}

	return {
		attainment: new Map(classes.map(({className, attainment}) => [className, attainment])),
		goodput: attained / run.seconds,
		wasted: work === 0 ? 0 : wasted / work,
		overtaken: getSum(counters, 'grants_past_higher', 'by="other"'),
		shedPastLower: estimateReasons.reduce((sum, reason) => sum + getSum(counters, 'sheds_while_lower_waits', `reason="${reason}"`), 0),
		floorGrants: getSum(counters, 'grants_past_higher', 'by="floor"'),
		yields: getSum(counters, 'yields'),
		wrong,
		doubled: report.doubled,
		messagesPerRequest: getSum(counters, 'grant_messages') / Math.max(1, records.length),
		bytesPerRequest: getSum(counters, 'grant_bytes') / Math.max(1, records.length),
	};
};

const getTokens = (records: RunResult['records'], className: ClassName): number => {
	let tokens = 0;
	for (const record of records) {
		tokens += record.className === className && record.outcome === 'complete' ? record.tokens : 0;
	}

	return tokens;
};

const getPercent = (share: number): string => `${(share * 100).toFixed(1)} %`;

/** Gets the name of a run in a table. */
export const getRunName = ({run}: Pick<RunResult, 'run'>): string => {
	const without = run.without.length === 0 ? '' : `, without ${run.without.join(' and ')}`;
	const only = run.only === undefined ? '' : `, only ${run.only.join(' and ')}`;
	const faults = run.faults === 'none' ? '' : `, ${run.faults}`;
	return `${run.deployment}, ${run.load} times capacity, ${run.order}, ${run.hosts} hosts${faults}${without}${only}`;
};

/** Gets a table of Markdown of some runs' figures. */
export const getMarkdown = (results: readonly RunResult[]): string => {
	const summaries = results.map(result => ({result, summary: getSummary(result)}));
	const classes = [...new Set(summaries.flatMap(({summary}) => [...summary.attainment.keys()]))];
	const head = ['run', ...classes, 'goodput/s', 'wasted', 'overtaken', 'shed past lower', 'floor grants', 'yields', 'wrong', 'doubled', 'messages', 'bytes'];
	const rows = summaries.map(({result, summary}) => [
		getRunName(result),
		...classes.map(name => summary.attainment.has(name) ? getPercent(summary.attainment.get(name) ?? 0) : ''),
		summary.goodput.toFixed(2),
		getPercent(summary.wasted),
		...[summary.overtaken, summary.shedPastLower, summary.floorGrants, summary.yields, summary.wrong, summary.doubled].map(String),
		summary.messagesPerRequest.toFixed(2),
		summary.bytesPerRequest.toFixed(0),
	]);
	return [head, head.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n');
};

/** Gets a line of how often each class failed and why. */
export const getErrors = (records: RunResult['records']): string => {
	const counts = new Map<string, number>();
	for (const {className, errors} of records) {
		for (const error of errors) {
			counts.set(`${className} ${error}`, (counts.get(`${className} ${error}`) ?? 0) + 1);
		}
	}

	return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
};
