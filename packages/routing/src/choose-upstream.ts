import type {Random} from '@gentianlift/clock';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {Upstream} from './upstream.js';

/** Work at an upstream, from all hosts. */
export type UpstreamLoad = {
	/** Requests sent and not yet answered to their end. */
	running: number;
	/** Prompt tokens of requests that have not answered with their first token. */
	unreadTokens: number;
	/** Of the running ones, streams that long prompts beside them make late. */
	delicate: number;
	/** Prompt tokens of requests that wait at hosts for this upstream. */
	awaitedTokens: number;
	/** When the upstream was last seen to start or finish reading a prompt. */
	progressAt: Milliseconds;
};

/** An upstream with what is known of it. */
export type Candidate = {
	upstream: Upstream;
	load: UpstreamLoad;
	/** Time until it has read the prompts that it was sent. */
	backlog: Milliseconds;
	/** Time that it will read prompts which wait at the hosts for it and go before this one. */
	awaited: Milliseconds;
	/** Tokens of the prompt that it has to read. */
	uncachedTokens: number;
	/** Of these, tokens of shared parts that another candidate keeps. */
	rereadTokens: number;
	/** Prompt tokens that it reads in a millisecond. */
	readingSpeed: number;
	/** Whether it is set apart for delicate streams. */
	isQuiet: boolean;
	/** Recent share of failures, from 0 to 1. */
	failureShare: number;
	/** Time of an answer against the median of its peers; 1 is the same. */
	slowness: number;
};

/** What is to be placed. */
export type Placement = {
	zone: Zone;
	/** Whether the request names the parts of its prompt. */
	hasPrompt: boolean;
	isDelicate: boolean;
	/** Time left in which the first token is on time. */
	slack: Milliseconds;
};

/** Milliseconds that one more running request is worth. */
const costForRunning: Milliseconds = 2;
/** Milliseconds that a call to another availability zone is worth. */
const costForZone: Milliseconds = 12;
/** Milliseconds that a certain failure is worth. */
const costForFailure: Milliseconds = 3000;
/** Milliseconds that a first token beyond its time is worth. */
const costForLateness: Milliseconds = 1500;
/** Factor on the time for reading what another upstream keeps, as it is work for nothing. */
const rereadFactor = 8;
/** Milliseconds that a delicate stream is worth that becomes late. */
const costForDisturbance: Milliseconds = 250;
/** Milliseconds that are added where a long prompt would go to an upstream that is set apart. */
const costForIntrusion: Milliseconds = 4000;
/** Milliseconds that are added where a delicate stream would go beside long prompts. */
const costForExposure: Milliseconds = 300;
/** Prompt tokens that an upstream reads between two events of a delicate stream without making it late. */
export const harmlessTokens = 5500;

/** Part of a slot that a call to another availability zone is worth to a service without prompts. */
const slotsForZone = 0.25;
/** Slots that a certain failure is worth. */
const slotsForFailure = 20;

/** Gets the cost of a long prompt beside delicate streams, and the reverse. */
const getDisturbance = ({isQuiet, load, backlog, uncachedTokens, readingSpeed}: Candidate, {isDelicate}: Placement): Milliseconds => {
	const isHarmful = (backlog * readingSpeed) + uncachedTokens > harmlessTokens;
	const harm = isHarmful ? load.delicate * costForDisturbance : 0;
	if (isDelicate) {
		return Math.min(harm, costForIntrusion) + (isQuiet ? 0 : costForExposure);
	}

	return isQuiet && isHarmful ? costForIntrusion : Math.min(harm, costForIntrusion);
};

const getGenerationCost = (candidate: Candidate, placement: Placement): number => {
	const {
		upstream, load, backlog, awaited, uncachedTokens, rereadTokens, readingSpeed, failureShare,
	} = candidate;
	const first = backlog + awaited + (uncachedTokens / readingSpeed);
	const reread = rereadFactor * rereadTokens / readingSpeed;
	const lateness = first > placement.slack ? costForLateness : 0;
	const distance = upstream.zone === placement.zone ? 0 : costForZone;
	return first + reread + lateness + distance
		+ (load.running * costForRunning) + (failureShare * costForFailure) + getDisturbance(candidate, placement);
};

const getCallCost = ({upstream, load, failureShare, slowness}: Candidate, {zone}: Placement): number => {
	const distance = upstream.zone === zone ? 0 : slotsForZone;
	return ((load.running + 1) * slowness) + distance + (failureShare * slotsForFailure);
};

/** Gets the cost of placing the request at the candidate; comparable only between candidates of one service. */
export const getCost = (candidate: Candidate, placement: Placement): number =>
	placement.hasPrompt ? getGenerationCost(candidate, placement) : getCallCost(candidate, placement);

/** Chooses the candidate of the least cost, one of them at random where several have it. */
export const chooseUpstream = (candidates: readonly Candidate[], placement: Placement, random: Random): Candidate | undefined => {
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, placement) + (random.next() / 100);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
};
