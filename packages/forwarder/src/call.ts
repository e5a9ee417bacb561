import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	isRepeatable, type KeyHolder, type Route, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {CallerHead} from './protocol.js';

/** A request that was read whole and may go to an upstream. */
export type Call = {
	method: string;
	/** Path with query. */
	target: string;
	head: CallerHead;
	body: Uint8Array;
	route: Route;
	service: string;
	customer: KeyHolder | undefined;
	rank: Rank;
	isRepeatable: boolean;
	response: ServerResponse;
	/** Version of the configuration that decided the route. */
	version: number;
	arrivedAt: Milliseconds;
	/** Moment of the final answer at the latest, by the route's timeout and the caller's patience. */
	endsAt: Milliseconds;
};

/** What has happened to a call so far. */
export type Progress = {
	sends: number;
	/** Upstreams that were tried. */
	tried: Set<UpstreamKey>;
	/** Sends that may have run. */
	upstreamsRun: number;
	/** Last event delivered to the caller, in a stream. */
	lastEvent: number | undefined;
	isCallerGone: boolean;
	isOver: boolean;
	/** What decided the last choice of an upstream. */
	choice: {waited: Milliseconds; backlog: Milliseconds; running: number; unreadTokens: number; uncachedTokens: number; rereadTokens: number} | undefined;
	/** When the last upstream's first bytes came, and its last ones. */
	firstAt: Milliseconds | undefined;
	lastAt: Milliseconds | undefined;
	/** Longest time between pieces of a stream. */
	longestPause: Milliseconds;
	/** Ends the send under way. */
	cancel: (() => void) | undefined;
};

const fingerprintDigits = 20;

/** Gets a digest that is the same for each copy of the request by the same caller. */
export const getFingerprint = ({method, target, head, body}: Call): string =>
	createHash('sha256').update(`${method} ${target}\n${head.key ?? ''}\n`).update(body).digest('hex').slice(0, fingerprintDigits);

/** What a call is made of, apart from what follows from it. */
export type CallParts = Omit<Call, 'rank' | 'isRepeatable' | 'endsAt'>;

/** Completes a call. */
export const createCall = (parts: CallParts): Call => ({
	...parts,
	rank: parts.customer?.rank ?? parts.route.rank,
	isRepeatable: isRepeatable(parts.route),
	endsAt: parts.arrivedAt + Math.min(parts.route.timeout, parts.head.patience ?? parts.route.timeout),
});

/** Creates the progress of a call that was sent nowhere yet. */
export const createProgress = (): Progress => ({
	sends: 0,
	tried: new Set(),
	upstreamsRun: 0,
	lastEvent: undefined,
	isCallerGone: false,
	isOver: false,
	choice: undefined,
	firstAt: undefined,
	lastAt: undefined,
	longestPause: 0,
	cancel: undefined,
});
