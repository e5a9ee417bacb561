import {createRandom, type Random} from '@gentianlift/clock';
import type {ClassName, CustomerId, Milliseconds} from '@gentianlift/types';
import type {Flow, FlowWork} from './get-flows.js';

/** A request to send, with the time at which to send it. */
export type Arrival = {
	/** Time from the start of the load. */
	at: Milliseconds;
	className: ClassName;
	customer: CustomerId;
	method: 'GET' | 'POST';
	path: string;
	body?: string;
	/** Idempotency key of a request that must be executed at most once. */
	idempotencyKey?: string;
	/** Model and messages of a chat, from which the expected answer is computed. */
	prompt?: {model: string; messages: Array<{role: string; content: string}>};
};

/** Parameters of a load. */
export type LoadShape = {
	flows: Flow[];
	/** Factor on the rates of all flows. */
	rate: number;
	/** Time within which requests arrive. */
	seconds: number;
	seed: number;
};

const millisecondsPerSecond = 1000;
/** Bursts start at this fraction of each period and last until its end. */
const burstStartFraction = 0.6;
/** Time from the start of one burst to the start of the next. */
const burstPeriod: Milliseconds = 10_000;
/** Standard deviation of the logarithm of answer lengths, which are log-normal. */
const lengthSigma = 0.6;
/** Maximum answer length as a multiple of the mean. */
const maxLengthRatio = 2;
const vocabulary = ['bar', 'coil', 'plate', 'tube', 'cut', 'length', 'grade', 'heat', 'mill', 'sheet', 'ton', 'order', 'zone', 'quay', 'load', 'term'];

const isBurst = (at: Milliseconds): boolean => at % burstPeriod >= burstStartFraction * burstPeriod;

/** Draws the time to the next arrival of a Poisson process. */
const drawInterval = (random: Random, perSecond: number): Milliseconds =>
	-Math.log(1 - random.next()) / perSecond * millisecondsPerSecond;

/** Draws from the standard normal distribution by the Box-Muller transform. */
const drawNormal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Draws the length of an answer, in tokens, from a log-normal distribution whose mean, before truncation, is the given one. */
const drawLength = (random: Random, mean: number): number =>
	Math.max(1, Math.round(mean * Math.min(maxLengthRatio, Math.exp((lengthSigma * drawNormal(random)) - ((lengthSigma ** 2) / 2)))));

const drawText = (random: Random, count: number): string =>
	Array.from({length: count}, () => random.pick(vocabulary)).join(' ');

/** Returns the text that all prompts of a flow and customer begin with. */
const getSharedPrompt = (flow: Flow, customer: CustomerId, count: number): string => {
	const seed = [...`${flow.className}/${customer}`].reduce((sum, letter) => ((sum * 31) + (letter.codePointAt(0) ?? 0)) % 1_000_003, 7);
	return drawText(createRandom(seed), count);
};

const getChatRequest = (flow: Flow, work: Extract<FlowWork, {kind: 'chat'}>, customer: CustomerId, random: Random) => {
	const ownText = `${drawText(random, work.ownWords)} #tokens=${drawLength(random, work.meanTokens)} #tag=${flow.className}`;
	const messages = [
		{role: 'system', content: getSharedPrompt(flow, customer, work.sharedWords)},
		{role: 'user', content: ownText},
	];
	return {
		method: 'POST' as const,
		path: '/v1/chat/completions',
		body: JSON.stringify({model: work.model, messages, stream: true}),
		prompt: {model: work.model, messages},
	};
};

const getServiceRequest = (work: Extract<FlowWork, {kind: 'call'}>, key: string) => work.method === 'GET'
	? {method: work.method, path: `${work.path}/${key}`}
	: {
		method: work.method, path: work.path, body: JSON.stringify({order: key}), idempotencyKey: key,
	};

const getFlowArrivals = (flow: Flow, shape: LoadShape, random: Random): Arrival[] => {
	const arrivals: Arrival[] = [];
	const end = shape.seconds * millisecondsPerSecond;
	const getRate = (at: Milliseconds): number => flow.perSecond * shape.rate * (isBurst(at) ? flow.burst : 1);
	for (let at = drawInterval(random, getRate(0)); at < end; at += drawInterval(random, getRate(at))) {
		const customer = random.pick(flow.customers) ?? '';
		const key = `${flow.className}-${shape.seed}-${arrivals.length}`;
		const request = flow.work.kind === 'chat' ? getChatRequest(flow, flow.work, customer, random) : getServiceRequest(flow.work, key);
		arrivals.push({
			at, className: flow.className, customer, ...request,
		});
	}

	return arrivals;
};

/** Returns the arrivals of a load in order of time; the same seed gives the same arrivals. */
export const getArrivals = (shape: LoadShape): Arrival[] => shape.flows
	.flatMap((flow, index) => getFlowArrivals(flow, shape, createRandom((shape.seed * 1000) + index)))
	.toSorted((left, right) => left.at - right.at);
