import type {Milliseconds} from '@gentianlift/types';
import type {Clock, Random} from '@gentianlift/clock';
import {readJson, sendJson, type Exchange} from './listener.js';

/** Faults that are injected into a fake through its control endpoint; absent ones are off. */
export type Faults = {
	/** Resets all connections and refuses new ones until the restart. */
	crash?: boolean;
	/** Delay from a crash to the restart; 0 means no restart. */
	restartAfterMs?: Milliseconds;
	/** Crashes the engine when it generates the first token for a prompt that contains this text. */
	crashOnPrompt?: string;
	/** Delays all output for this long: an engine's once, when it is set; an application service's on every call. */
	stallMs?: Milliseconds;
	/** Sends no more answers while keeping connections open: `open` for requests in flight, `all` for new ones too. */
	silent?: 'open' | 'all';
	/** Factor by which generations and calls are slowed down. */
	slowFactor?: number;
	/** Rejects new requests with the code `busy`. */
	refuse?: boolean;
	/** Rejects new requests with the code `leaving`. */
	leaving?: boolean;
	/** Probability, from 0 to 1, that a call is executed but its reply is lost. */
	loseReplies?: number;
	/** Probability, from 0 to 1, that a call is lost before it is executed. */
	loseRequests?: number;
	/** Answers every call with status 503. */
	outage?: boolean;
	/** Delay before each call is handled. */
	latencyMs?: Milliseconds;
	/** Number of further calls that are answered with status 500. */
	errorBurst?: number;
	/** Watches are never answered. */
	silentWatch?: boolean;
};

/** How a call proceeds after fault injection: it is executed and answered, executed with its reply lost, or already concluded by a fault. */
export type FaultOutcome = 'serve' | 'lose-reply' | 'answered';

/** Fault injection and control endpoint of a fake. */
export type FaultControl = {
	faults: Faults;
	/** Injects latency, silence, outages, errors and losses before a call is executed. */
	applyFaults: (exchange: Exchange) => Promise<FaultOutcome>;
	/** Answers requests to `/fake/faults` and `/fake/state`; returns false for other paths. */
	handleControlRequest: (exchange: Exchange) => Promise<boolean>;
};

/** Options of a fault control. */
export type FaultControlOptions = {
	/** Initial faults; the object is changed in place. */
	faults?: Faults;
	clock: Clock;
	random: Random;
	/** Returns the body of the answer to `GET /fake/state`. */
	getState: () => unknown;
	/** Called with the changed faults after each change. */
	onChange?: (change: Faults) => Promise<void>;
};

const resetConnection = (exchange: Exchange): FaultOutcome => {
	exchange.response.socket?.resetAndDestroy();
	return 'answered';
};

/** Returns whether the call is to fail, and decrements the remaining error burst. */
const consumeErrorBurst = (faults: Faults): boolean => {
	const remaining = faults.errorBurst ?? 0;
	faults.errorBurst = Math.max(0, remaining - 1);
	return remaining > 0;
};

/** Creates the fault control of a fake. */
export const createFaultControl = (options: FaultControlOptions): FaultControl => {
	const faults: Faults = options.faults ?? {};

	const getFaultOutcome = (exchange: Exchange): FaultOutcome => {
		if (faults.silent === 'all') {
			return 'answered';
		}

		if (faults.outage === true) {
			sendJson(exchange.response, 503, {error: {code: 'outage'}});
			return 'answered';
		}

		if (consumeErrorBurst(faults)) {
			sendJson(exchange.response, 500, {error: {code: 'error'}});
			return 'answered';
		}

		if (options.random.next() < (faults.loseRequests ?? 0)) {
			return resetConnection(exchange);
		}

		return options.random.next() < (faults.loseReplies ?? 0) ? 'lose-reply' : 'serve';
	};

	return {
		faults,
		async applyFaults(exchange) {
			if (faults.latencyMs !== undefined && faults.latencyMs > 0) {
				await options.clock.sleep(faults.latencyMs);
			}

			return getFaultOutcome(exchange);
		},
		async handleControlRequest(exchange) {
			if (exchange.url.pathname === '/fake/state') {
				sendJson(exchange.response, 200, options.getState());
				return true;
			}

			if (exchange.url.pathname !== '/fake/faults') {
				return false;
			}

			const change = (await readJson(exchange.request) ?? {}) as Faults;
			Object.assign(faults, change);
			sendJson(exchange.response, 200, faults);
			await options.onChange?.(change);
			return true;
		},
	};
};
