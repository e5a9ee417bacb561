import {
	createManualClock, createRandom, type Random,
} from '@gentianlift/clock';
import type {Prompt, Route} from '@gentianlift/routing';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import type {Milliseconds} from '@gentianlift/types';
import {buildTestCall} from '../testing-call.js';
import {engineCacheTokens, enginePrefillRate} from './testing-engine.js';
import {createTestFleet, type ForwardedCall, type TestFleetOptions} from './testing-fleet.js';

const question = buildRoute({
	name: 'question', rank: 0, latencyTarget: 500, timeout: 15_000,
});
const draft = buildRoute({
	name: 'draft', rank: 1, latencyTarget: 800, timeout: 6000,
});
const review = buildRoute({
	name: 'review', rank: 2, latencyTarget: 2500, timeout: 12_000,
});
const configuration = buildConfiguration({
	routes: [question, draft, review],
	services: [{name: 's', maxConnections: 700, engine: {slots: 64, cacheTokens: engineCacheTokens, tokensPerEvent: 4}}],
});

/** Duration of the burst. */
const burstDuration: Milliseconds = 2500;
/** Beginning of the burst that isn't measured, while queues build up and shared parts are prefilled for the first time. */
const warmUp: Milliseconds = 500;
/** Bounds of the tokens of a call's prompt that no other one shares. */
type OwnTokens = {min: number; max: number};

/** Own tokens of the calls of each route as a multiple of what the engines can prefill; and the bounds of a review's. */
export type BurstLoads = {questions: number; drafts: number; reviews: number; reviewTokens?: OwnTokens};

/** Reviews that exceed what the engines can prefill, and some questions. */
const defaultLoads: BurstLoads = {questions: 0.06, drafts: 0, reviews: 1.4};

const questionTokens = 1100;
const draftTokens: OwnTokens = {min: 1900, max: 3900};
const sharedDraftTokens = 6300;
const defaultReviewTokens: OwnTokens = {min: 2700, max: 4700};
const sharedTokens = 13_300;
const sharedKinds = 12;

/** Size of a simulated fleet and the timing of its load reports. */
export type FleetSize = Pick<TestFleetOptions, 'hosts' | 'engines' | 'reportDelay' | 'reportSpacing'>;

type Arrival = {route: Route; prompt: Prompt; hostIndex: number; arrivesAt: Milliseconds};

/** A call of the burst; `forwarded` is undefined until its first token. */
type BurstCall = {arrival: Arrival; forwarded: ForwardedCall | undefined};

const buildPrompt = (parts: Prompt['parts']): Prompt => ({
	model: 'm', parts, inputTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), outputTokens: 100,
});

/** Calls of one route; `getPrompt` builds the prompt of the call with a name. */
type Traffic = {route: Route; callsPerMillisecond: number; getPrompt: (name: string) => Prompt};

/** Builds Poisson arrivals at random hosts. */
const buildArrivals = ({route, callsPerMillisecond, getPrompt}: Traffic, {hosts}: FleetSize, random: Random): Arrival[] => {
	const arrivals: Arrival[] = [];
	const getInterval = (): Milliseconds => -Math.log(1 - random.next()) / callsPerMillisecond;
	for (let arrivesAt = getInterval(); arrivesAt < burstDuration; arrivesAt += getInterval()) {
		arrivals.push({
			route, arrivesAt, hostIndex: random.nextInt(hosts), prompt: getPrompt(`${route.name}-${arrivals.length}`),
		});
	}

	return arrivals;
};

const buildBurst = (fleet: FleetSize, loads: BurstLoads, random: Random): Arrival[] => {
	const capacity = fleet.engines * enginePrefillRate;
	const reviewTokens = loads.reviewTokens ?? defaultReviewTokens;
	const meanReviewTokens = (reviewTokens.min + reviewTokens.max) / 2;
	const questions: Traffic = {
		route: question,
		callsPerMillisecond: loads.questions * capacity / questionTokens,
		getPrompt: name => buildPrompt([{id: name, tokens: questionTokens}]),
	};
	const drafts: Traffic = {
		route: draft,
		callsPerMillisecond: loads.drafts * capacity / ((draftTokens.min + draftTokens.max) / 2),
		getPrompt: name => buildPrompt([
			{id: `shared-draft-${random.nextInt(sharedKinds)}`, tokens: sharedDraftTokens},
			{id: name, tokens: draftTokens.min + random.nextInt(draftTokens.max - draftTokens.min)},
		]),
	};
	const reviews: Traffic = {
		route: review,
		callsPerMillisecond: loads.reviews * capacity / meanReviewTokens,
		getPrompt: name => buildPrompt([
			{id: `shared-${random.nextInt(sharedKinds)}`, tokens: sharedTokens},
			{id: name, tokens: reviewTokens.min + random.nextInt(reviewTokens.max - reviewTokens.min)},
		]),
	};
	const arrivals = [questions, drafts, reviews].flatMap(traffic => buildArrivals(traffic, fleet, random));
	return arrivals.toSorted((one, other) => one.arrivesAt - other.arrivesAt);
};

/** Forwards the calls of a burst and waits until their timeouts have passed. */
const forwardBurst = async (fleetSize: FleetSize, seed: number, loads: BurstLoads): Promise<BurstCall[]> => {
	const clock = createManualClock();
	const fleet = createTestFleet({
		...fleetSize, clock, configuration, seed,
	});
	const calls: BurstCall[] = buildBurst(fleetSize, loads, createRandom(seed)).map(arrival => ({arrival, forwarded: undefined}));
	const forward = async (call: BurstCall): Promise<void> => {
		call.forwarded = await fleet.forward(call.arrival.hostIndex, buildTestCall({...call.arrival, arrivedAt: clock.monotonic()}));
	};

	for (const call of calls) {
		// eslint-disable-next-line no-await-in-loop -- Calls arrive one at a time.
		await clock.advance(call.arrival.arrivesAt - clock.monotonic());
		void forward(call);
	}

	await clock.advance(review.timeout);
	return calls;
};

const getQuantile = (values: readonly number[], quantile: number): number => {
	const sorted = values.toSorted((one, other) => one - other);
	return Math.round(sorted[Math.floor(sorted.length * quantile)] ?? 0);
};

/** Median and ninth decile. */
type Spread = {p50: number; p90: number};

const getSpread = (values: readonly number[]): Spread => ({p50: getQuantile(values, 0.5), p90: getQuantile(values, 0.9)});

/** Summary of a burst. */
export type BurstResult = {
	/** Fraction of the questions that got their first token within their target. */
	questionsInTarget: number;
	/** Fraction of the engines' capacity that prefilled reviews. */
	reviewUtilization: number;
	/** Fraction of the engines' capacity that prefilled shared parts which another engine had prefilled before. */
	rereadUtilization: number;
	/** Fraction of the engines' capacity that was used. */
	utilization: number;
	/** Fraction of the calls that got a first token before their timeout. */
	served: number;
	/** The same of the drafts alone, and of the reviews. */
	draftsServed: number;
	/** Fraction of the drafts that got their first token within their target. */
	draftsInTarget: number;
	reviewsServed: number;
	draftTime: Spread;
	/** Time that questions wait at the hosts, and from there to their first token. */
	questionTimeAtHost: Spread;
	questionTimeAtEngine: Spread;
	/** Time that reviews take from their arrival to their first token. */
	reviewTime: Spread;
	/** Tokens that an engine still had to prefill when a review was sent to it. */
	tokensAhead: Spread;
};

type ServedCall = {arrival: Arrival; forwarded: ForwardedCall};

const isServed = (call: BurstCall): call is ServedCall =>
	call.forwarded !== undefined && call.forwarded.firstTokenAt - call.arrival.arrivesAt < call.arrival.route.timeout;

/** Returns the fraction of the call's prefill that falls into the measured part of the burst; an engine prefills one prompt at a time. */
const getMeasuredFraction = ({firstTokenAt, uncachedTokens}: ForwardedCall): number => {
	const duration = uncachedTokens / enginePrefillRate;
	const measured = Math.min(firstTokenAt, burstDuration) - Math.max(firstTokenAt - duration, warmUp);
	return Math.max(0, measured) / duration;
};

/** Returns the fraction of the engines' capacity that was used by the calls in the measured part of the burst; `getTokens` returns those to count of a call. */
const getUtilization = (calls: readonly ServedCall[], {engines}: FleetSize, getTokens: (call: ServedCall) => number): number => {
	const tokens = calls.reduce((sum, call) => sum + (getTokens(call) * getMeasuredFraction(call.forwarded)), 0);
	return tokens / (engines * enginePrefillRate * (burstDuration - warmUp));
};

/** Returns the reviews whose shared part was prefilled although an engine had prefilled it before. */
const getRereading = (reviews: readonly ServedCall[]): Set<ServedCall> => {
	const readParts = new Set<string>();
	const rereading = new Set<ServedCall>();
	const readers = reviews.filter(({forwarded}) => forwarded.uncachedTokens > sharedTokens);
	for (const call of readers.toSorted((one, other) => one.forwarded.firstTokenAt - other.forwarded.firstTokenAt)) {
		const shared = call.arrival.prompt.parts[0]!.id;
		if (readParts.has(shared)) {
			rereading.add(call);
		}

		readParts.add(shared);
	}

	return rereading;
};

const summarize = (calls: readonly BurstCall[], fleet: FleetSize): BurstResult => {
	const served = calls.filter(call => isServed(call));
	const questions = served.filter(({arrival}) => arrival.route === question);
	const drafts = served.filter(({arrival}) => arrival.route === draft);
	const reviews = served.filter(({arrival}) => arrival.route === review);
	const rereading = getRereading(reviews);
	const getPartInTarget = (route: Route): number => {
		const all = calls.filter(({arrival}) => arrival.route === route);
		const inTarget = served.filter(({arrival, forwarded}) => arrival.route === route && forwarded.firstTokenAt - arrival.arrivesAt <= route.latencyTarget);
		return inTarget.length / all.length;
	};

	return {
		questionsInTarget: getPartInTarget(question),
		draftsInTarget: getPartInTarget(draft),
		reviewUtilization: getUtilization(reviews, fleet, ({forwarded}) => forwarded.uncachedTokens),
		rereadUtilization: getUtilization([...rereading], fleet, () => sharedTokens),
		utilization: getUtilization(served, fleet, ({forwarded}) => forwarded.uncachedTokens),
		served: served.length / calls.length,
		draftsServed: drafts.length / calls.filter(({arrival}) => arrival.route === draft).length,
		reviewsServed: reviews.length / calls.filter(({arrival}) => arrival.route === review).length,
		draftTime: getSpread(drafts.map(({arrival, forwarded}) => forwarded.firstTokenAt - arrival.arrivesAt)),
		questionTimeAtHost: getSpread(questions.map(({arrival, forwarded}) => forwarded.sentAt - arrival.arrivesAt)),
		questionTimeAtEngine: getSpread(questions.map(({forwarded}) => forwarded.firstTokenAt - forwarded.sentAt)),
		reviewTime: getSpread(reviews.map(({arrival, forwarded}) => forwarded.firstTokenAt - arrival.arrivesAt)),
		tokensAhead: getSpread(reviews.map(({forwarded}) => forwarded.tokensAhead)),
	};
};

/**
 * Plays a burst of reviews that exceeds what the engines can prefill, with some questions of a higher rank, and
 * summarizes it. The same seed yields the same burst.
 */
export const playBurst = async (fleet: FleetSize, seed: number, loads: BurstLoads = defaultLoads): Promise<BurstResult> =>
	summarize(await forwardBurst(fleet, seed, loads), fleet);
