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
	/** When the upstream was last seen to start or finish reading a prompt. */
	progressAt: Milliseconds;
};

/** An upstream with what is known of it. */
export type Candidate = {
	upstream: Upstream;
	load: UpstreamLoad;
	/** Time until it has read the prompts that it was sent. */
	backlog: Milliseconds;
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
const rereadFactor = 4;
/** Milliseconds that are added where a long prompt meets delicate streams. */
const costForDisturbance: Milliseconds = 1200;
/** Prompt tokens that an upstream reads between two events of a delicate stream without making it late. */
export const harmlessTokens = 5000;

/** Part of a slot that a call to another availability zone is worth to a service without prompts. */
const slotsForZone = 0.25;
/** Slots that a certain failure is worth. */
const slotsForFailure = 20;

/** Gets the cost of a long prompt beside delicate streams, and the reverse. */
const getDisturbance = ({isQuiet, load, uncachedTokens}: Candidate, {isDelicate}: Placement): Milliseconds => {
	if (isDelicate) {
		return isQuiet ? 0 : costForDisturbance / 4;
	}

	if (uncachedTokens < harmlessTokens) {
		return 0;
	}

	return isQuiet ? costForDisturbance : Math.min(costForDisturbance, load.delicate * costForDisturbance / 8);
};

const getGenerationCost = (candidate: Candidate, placement: Placement): number => {
	const {
		upstream, load, backlog, uncachedTokens, rereadTokens, readingSpeed, failureShare,
	} = candidate;
	const first = backlog + (uncachedTokens / readingSpeed);
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
