import {
	noRankTokens, sumRankTokens,
	type GoodEnd, type LimitNews, type PromptPart, type RankTokens, type StartedStream, type SuspectedCrash, type SuspectId, type UpstreamKey,
} from '@gentianlift/routing';
import {
	fieldBounds, isName, readNumber, type HostId, type Incarnation, type Milliseconds, type Rank,
} from '@gentianlift/types';
import type {ReportedLoad} from './load-tracker.js';

/** Prompt that a host has sent to an upstream, so that the upstream holds its parts in the prompt cache. */
export type Prefill = {upstream: UpstreamKey; model: string; parts: readonly PromptPart[]};

/** Report of one host to the others: the load that it causes, the prompts that it has sent, and what speaks for and against suspects of crashes. It is sent after each change, and in full periodically. */
export type LoadReport = {
	host: HostId;
	incarnation: Incarnation;
	sequence: number;
	/** Revision of the store up to which the host knows all changes. */
	revision: number;
	isStopping: boolean;
	/** Loads that have changed since the last report, or in a full report all that have changed lately. */
	loads: ReportedLoad[];
	prefills: Prefill[];
	crashes: SuspectedCrash[];
	/** Good ends of suspects of which another host has reported a crash. */
	goodEnds: GoodEnd[];
	/** Limits that upstreams have named or ended. */
	limits: LimitNews[];
	/** Wall-clock time at which the host built the report; absent in reports of older versions. */
	builtAt?: Milliseconds;
	/** Streams that have begun at the host. */
	streams: StartedStream[];
	/** Upstreams that have said that they leave. */
	leaving: UpstreamKey[];
	/** Version of the configuration that the host goes by; absent before the first, and in reports of older versions. */
	configurationVersion?: number | undefined;
};

/** Load report in the form in which it is sent: a tuple, which omits the field names. */
export type PackedLoadReport = [
	host: HostId,
	incarnation: Incarnation,
	sequence: number,
	revision: number,
	isStopping: 0 | 1,
	/** Reports of older versions have the sum of the queued tokens only. */
	loads: Array<[upstream: UpstreamKey, running: number, unreadTokens: number, latencySensitiveStreams: number, queuedTokens: number, queuedByRank?: Array<[rank: Rank, tokens: number]>]>,
	prefills: Array<[upstream: UpstreamKey, model: string, parts: Array<[id: string, tokens: number]>]>,
	/** Crashes of older versions have no age. */
	crashes: Array<[suspect: SuspectId, upstream: UpstreamKey, age?: Milliseconds]>,
	/** Suspects with good ends, whose ages follow as `goodEndAges`. */
	cleared: SuspectId[],
	builtAt?: Milliseconds,
	/** Absent in reports of older versions. */
	streams?: Array<[request: string, service: string, softwareVersion: string]>,
	/** Absent in reports of older versions. */
	goodEndAges?: Milliseconds[],
	/** Absent in reports of older versions; one that has ended has no limit. */
	limits?: Array<[upstream: UpstreamKey, age: Milliseconds, limit?: number]>,
	/** Absent in reports of older versions. */
	leaving?: UpstreamKey[],
	/** Absent in reports of older versions, and before the first configuration. */
	configurationVersion?: number,
];

const packLoad = ({upstream, running, unreadTokens, latencySensitiveStreams, queuedTokens}: ReportedLoad): PackedLoadReport[5][number] =>
	queuedTokens.size === 0
		? [upstream, running, unreadTokens, latencySensitiveStreams, 0]
		: [upstream, running, unreadTokens, latencySensitiveStreams, sumRankTokens(queuedTokens), [...queuedTokens]];

/** Converts a report into its wire form. */
export const packLoadReport = (report: LoadReport): PackedLoadReport => [
	report.host,
	report.incarnation,
	report.sequence,
	report.revision,
	report.isStopping ? 1 : 0,
	report.loads.map(load => packLoad(load)),
	report.prefills.map(({upstream, model, parts}) => [upstream, model, parts.map(({id, tokens}) => [id, tokens])]),
	report.crashes.map(({suspect, upstream, age}) => [suspect, upstream, age]),
	report.goodEnds.map(({suspect}) => suspect),
	report.builtAt,
	report.streams.map(({request, service, softwareVersion}) => [request, service, softwareVersion]),
	report.goodEnds.map(({age}) => age),
	report.limits.map(({upstream, age, limit}) => limit === undefined ? [upstream, age] : [upstream, age, limit]),
	report.leaving,
	report.configurationVersion,
];

const isPackedLoadReport = (value: unknown): value is PackedLoadReport => {
	if (!Array.isArray(value)) {
		return false;
	}

	const [host, incarnation, sequence, revision, , loads, prefills, crashes, cleared] = value as unknown[];
	return isName(host)
		&& Number.isFinite(incarnation) && [sequence, revision].every(number => Number.isSafeInteger(number))
		&& Array.isArray(cleared)
		&& [loads, prefills, crashes].every(list => Array.isArray(list) && list.every(item => Array.isArray(item)));
};

/** Reads the streams of a report; malformed ones are skipped. */
const unpackStreams = (value: unknown): StartedStream[] => {
	const items: unknown[] = Array.isArray(value) ? value : [];
	return items.flatMap(item => {
		const [request, service, softwareVersion] = Array.isArray(item) ? item as unknown[] : [];
		return typeof request === 'string' && typeof service === 'string' && typeof softwareVersion === 'string' ? [{request, service, softwareVersion}] : [];
	});
};

/** Reads an age; 0 for one that is absent or malformed, as for news. */
const unpackAge = (value: unknown): Milliseconds => readNumber(value, {min: 0, max: fieldBounds.time.max}, 0);

const unpackGoodEnds = (suspects: readonly unknown[], ages: unknown): GoodEnd[] => {
	const agesOfAll: unknown[] = Array.isArray(ages) ? ages : [];
	return suspects.flatMap((suspect, index) => typeof suspect === 'string' ? [{suspect, age: unpackAge(agesOfAll[index])}] : []);
};

/** Reads the limits of a report; malformed ones are skipped. */
const unpackLimits = (value: unknown): LimitNews[] => {
	const items: unknown[] = Array.isArray(value) ? value : [];
	return items.flatMap(item => {
		const [upstream, age, limit] = Array.isArray(item) ? item as unknown[] : [];
		const isLimit = limit === undefined || (typeof limit === 'number' && limit >= 0 && Number.isFinite(limit));
		return typeof upstream === 'string' && isLimit ? [{upstream, limit, age: unpackAge(age)}] : [];
	});
};

/** Whether a value is a number that can be added to a load. */
const isLoadNumber = (value: unknown): value is number => typeof value === 'number' && Math.abs(value) <= fieldBounds.tokens.max;

/** Rank of queued tokens that are reported without one: the lowest, so that no call is refused or waits for them. */
const unknownRank: Rank = Number.POSITIVE_INFINITY;

/** Reads queued tokens. */
const unpackQueuedTokens = (sum: number, byRank: unknown): RankTokens => {
	if (!Array.isArray(byRank)) {
		return sum > 0 ? new Map([[unknownRank, sum]]) : noRankTokens;
	}

	return new Map((byRank as unknown[]).flatMap((item): Array<[Rank, number]> => {
		const [rank, tokens] = Array.isArray(item) ? item as unknown[] : [];
		return typeof rank === 'number' && isLoadNumber(tokens) && tokens > 0 ? [[rank, tokens]] : [];
	}));
};

/** Reads loads; malformed ones are skipped. */
const unpackLoads = (loads: ReadonlyArray<readonly unknown[]>): ReportedLoad[] => loads.flatMap(([upstream, running, unreadTokens, latencySensitiveStreams, queuedTokens, queuedByRank]) =>
	typeof upstream === 'string' && isLoadNumber(running) && isLoadNumber(unreadTokens) && isLoadNumber(latencySensitiveStreams) && isLoadNumber(queuedTokens)
		? [{
			upstream, running, unreadTokens, latencySensitiveStreams, queuedTokens: unpackQueuedTokens(queuedTokens, queuedByRank),
		}]
		: []);

const isPart = (part: unknown): part is [id: string, tokens: number] => Array.isArray(part) && typeof part[0] === 'string' && isLoadNumber(part[1]);

/** Reads prompts that were sent; malformed ones, and malformed parts, are skipped. */
const unpackPrefills = (prefills: ReadonlyArray<readonly unknown[]>): Prefill[] => prefills.flatMap(([upstream, model, parts]) =>
	typeof upstream === 'string' && typeof model === 'string' && Array.isArray(parts)
		? [{upstream, model, parts: parts.filter(part => isPart(part)).map(([id, tokens]) => ({id, tokens}))}]
		: []);

/** Reads the upstreams that leave; what isn't a key is skipped. */
const unpackLeaving = (value: unknown): UpstreamKey[] => Array.isArray(value) ? value.filter(item => typeof item === 'string') : [];

const unpackCrashes = (crashes: ReadonlyArray<readonly unknown[]>): SuspectedCrash[] =>
	crashes.flatMap(([suspect, upstream, age]) => typeof suspect === 'string' && typeof upstream === 'string' ? [{suspect, upstream, age: unpackAge(age)}] : []);

/** Reads a report from its wire form; returns undefined if the value is malformed. */
export const unpackLoadReport = (value: unknown): LoadReport | undefined => {
	if (!isPackedLoadReport(value)) {
		return undefined;
	}

	const [host, incarnation, sequence, revision, isStopping, loads, prefills, crashes, cleared, builtAt, streams, goodEndAges, limits, leaving, configurationVersion] = value;
	return {
		host,
		incarnation,
		sequence,
		revision,
		isStopping: isStopping === 1,
		loads: unpackLoads(loads),
		prefills: unpackPrefills(prefills),
		crashes: unpackCrashes(crashes),
		goodEnds: unpackGoodEnds(cleared, goodEndAges),
		limits: unpackLimits(limits),
		builtAt: Number.isFinite(builtAt) ? builtAt : undefined,
		streams: unpackStreams(streams),
		leaving: unpackLeaving(leaving),
		configurationVersion: Number.isSafeInteger(configurationVersion) ? configurationVersion : undefined,
	};
};
