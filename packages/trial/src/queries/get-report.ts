import type {
	Milliseconds, ClassName, Configuration, Targets,
} from '@gentianlift/types';
import type {CallRecord} from '../commands/run-load.js';
import type {Standins} from '../commands/start-standins.js';

/** Measures of one class. */
export type ClassReport = {
	className: ClassName;
	sent: number;
	complete: number;
	wrong: number;
	/** Share of the requests sent whose answer met all targets. */
	attainment: number;
	/** Answers within target a second. */
	goodput: number;
	/** Median and 99th percentile from arrival to the first token or byte. */
	firstP50: Milliseconds;
	firstP99: Milliseconds;
	/** Tokens generated, or calls carried out, that reached nobody. */
	wasted: number;
	/** `wasted` as a share of what was done. */
	wastedShare: number;
	refused: number;
	retries: number;
};

/** Measures of a load. */
export type Report = {
	classes: ClassReport[];
	/** Failed attempts by error kind, all classes together. */
	errors: Record<string, number>;
	/** Bookings that an application service carried out more than once. */
	doubled: number;
};

const millisecondsPerSecond = 1000;
const endOfDay = '24:00';

/** Gets the targets of a class at an hour, `HH:MM`. */
export const getTargets = (configuration: Configuration, className: ClassName, time: string): Targets => {
	const found = configuration.rules.classes.find(({name}) => name === className);
	const hours = found?.hours.find(({from, to}) => from <= time && (time < to || to === endOfDay));
	return hours?.targets ?? {};
};

const isWithin = (value: Milliseconds | undefined, target: Milliseconds | undefined): boolean =>
	target === undefined || (value !== undefined && value <= target);

/** Whether an answer met all targets of its class. */
export const isAttained = (record: CallRecord, targets: Targets): boolean => record.outcome === 'complete'
	&& isWithin(record.firstAfter, targets.firstToken)
	&& (record.tokens < 2 || isWithin(record.betweenTokens, targets.betweenTokens))
	&& isWithin(record.wholeAfter, targets.whole);

/** Gets a percentile, from 0 to 1, of some values; 0 if there are none. */
export const getPercentile = (values: number[], percentile: number): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? 0;
};

/** Gets the work done for each class: tokens generated, or calls carried out. */
export const getWork = (standins: Pick<Standins, 'engines' | 'services'>, classOfPath: (method: string, path: string) => ClassName): Map<ClassName, number> => {
	const work = new Map<ClassName, number>();
	const add = (className: ClassName, amount: number): void => {
		work.set(className, (work.get(className) ?? 0) + amount);
	};

	for (const engine of standins.engines.values()) {
		for (const [tag, tokens] of Object.entries(engine.getState().tokensByTag)) {
			add(tag, tokens);
		}
	}

	for (const service of standins.services.values()) {
		for (const {method, path} of service.calls) {
			add(classOfPath(method, path), 1);
		}
	}

	return work;
};

/** Counts bookings that were carried out more than once, over all instances. */
export const countDoubled = (standins: Pick<Standins, 'services'>): number => {
	const keys = [...standins.services.values()].flatMap(({calls}) => calls.map(({idempotencyKey}) => idempotencyKey));
	const present = keys.filter(key => key !== '');
	return present.length - new Set(present).size;
};

type ClassSource = {className: ClassName; records: CallRecord[]; targets: Targets; seconds: number; work: number};

const getClassReport = ({className, records, targets, seconds, work}: ClassSource): ClassReport => {
	const own = records.filter(record => record.className === className);
	const complete = own.filter(({outcome}) => outcome === 'complete');
	const attained = own.filter(record => isAttained(record, targets)).length;
	const first = complete.map(({firstAfter}) => firstAfter ?? 0);
	const useful = complete.reduce((sum, {tokens}) => sum + Math.max(1, tokens), 0);
	const wasted = Math.max(0, work - useful);
	return {
		className,
		sent: own.length,
		complete: complete.length,
		wrong: own.filter(({outcome}) => outcome === 'wrong').length,
		attainment: own.length === 0 ? 1 : attained / own.length,
		goodput: attained / seconds,
		firstP50: getPercentile(first, 0.5),
		firstP99: getPercentile(first, 0.99),
		wasted,
		wastedShare: work === 0 ? 0 : wasted / work,
		refused: own.filter(({outcome}) => outcome === 'failed').length,
		retries: own.reduce((sum, {retries}) => sum + retries, 0),
	};
};

const countErrors = (records: CallRecord[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const kind of records.flatMap(({errors}) => errors)) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return counts;
};

/** What a report is made from. */
export type ReportSource = {
	records: CallRecord[];
	configuration: Configuration;
	standins: Pick<Standins, 'engines' | 'services'>;
	/** Hour of all customers, `HH:MM`. */
	time: string;
};

/** Gets the measures of a load, by class in the order of the rules. */
export const getReport = ({records, configuration, standins, time}: ReportSource): Report => {
	const {classes} = configuration.rules;
	const work = getWork(standins, (method, path) =>
		classes.find(({match}) => match.method === method && path.startsWith(match.pathPrefix ?? ''))?.name ?? '');
	const end = Math.max(1, ...records.map(({at, wholeAfter}) => at + wholeAfter));
	return {
		classes: classes.map(({name}) => getClassReport({
			className: name,
			records,
			targets: getTargets(configuration, name, time),
			seconds: end / millisecondsPerSecond,
			work: work.get(name) ?? 0,
		})),
		errors: countErrors(records),
		doubled: countDoubled(standins),
	};
};
