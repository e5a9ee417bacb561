import type {Milliseconds} from '@gentianlift/types';
import type {Clock, Random} from '@gentianlift/clock';
import {readJson, sendJson, type Exchange} from './listener.js';

/** Faults that a fake shows on request; an absent one is off. Shares go from 0 to 1. */
export type Faults = {
	/** Ends all connections and refuses new ones until the restart. */
	crash?: boolean;
	/** Time from a crash to the restart; 0 stays down. */
	restartAfterMs?: Milliseconds;
	/** Crashes the engine as soon as it runs a prompt that contains this text. */
	crashOnPrompt?: string;
	/** Produces nothing for this long, once. */
	stallMs?: Milliseconds;
	/** `open` silences the connections under way for good, `all` also new ones. */
	silent?: 'open' | 'all';
	slowFactor?: number;
	/** Refuses new work as busy. */
	refuse?: boolean;
	/** Refuses new work as leaving. */
	leaving?: boolean;
	/** Share of calls that are carried out without an answer. */
	loseReplies?: number;
	/** Share of calls that are lost before they are carried out. */
	loseRequests?: number;
	/** Answers 503 to each call. */
	outage?: boolean;
	latencyMs?: Milliseconds;
	/** Number of calls to answer with status 500. */
	errorBurst?: number;
	/** Watches report no change. */
	silentWatch?: boolean;
};

/** What becomes of a call under the faults in force. */
export type Fate = 'serve' | 'lose-reply' | 'answered';

/** What a fake does beside its own interface. */
export type FaultControl = {
	faults: Faults;
	/** Applies latency, outage, errors and losses before a call is carried out. */
	applyFaults: (exchange: Exchange) => Promise<Fate>;
	/** Answers `/fake/faults` and `/fake/state`; false for other paths. */
	handleControl: (exchange: Exchange) => Promise<boolean>;
};

/** What the control of faults needs of its fake. */
export type FaultPorts = {
	/** Faults in force from the start; changed in place. */
	faults?: Faults;
	clock: Clock;
	random: Random;
	getState: () => unknown;
	/** Called after each change of the faults. */
	onChange?: (change: Faults) => Promise<void>;
};

const dropExchange = (exchange: Exchange): Fate => {
	exchange.response.socket?.resetAndDestroy();
	return 'answered';
};

const takeError = (faults: Faults): boolean => {
	const left = faults.errorBurst ?? 0;
	faults.errorBurst = Math.max(0, left - 1);
	return left > 0;
};

/** Creates the control of a fake's faults. */
export const createFaultControl = (ports: FaultPorts): FaultControl => {
	const faults: Faults = ports.faults ?? {};

	const decideFate = (exchange: Exchange): Fate => {
		if (faults.silent === 'all') {
			return 'answered';
		}

		if (faults.outage === true) {
			sendJson(exchange.response, 503, {error: {code: 'outage'}});
			return 'answered';
		}

		if (takeError(faults)) {
			sendJson(exchange.response, 500, {error: {code: 'error'}});
			return 'answered';
		}

		if (ports.random.next() < (faults.loseRequests ?? 0)) {
			return dropExchange(exchange);
		}

		return ports.random.next() < (faults.loseReplies ?? 0) ? 'lose-reply' : 'serve';
	};

	return {
		faults,
		async applyFaults(exchange) {
			if (faults.latencyMs !== undefined && faults.latencyMs > 0) {
				await ports.clock.sleep(faults.latencyMs);
			}

			return decideFate(exchange);
		},
		async handleControl(exchange) {
			if (exchange.url.pathname === '/fake/state') {
				sendJson(exchange.response, 200, ports.getState());
				return true;
			}

			if (exchange.url.pathname !== '/fake/faults') {
				return false;
			}

			const change = (await readJson(exchange.request) ?? {}) as Faults;
			Object.assign(faults, change);
			sendJson(exchange.response, 200, faults);
			await ports.onChange?.(change);
			return true;
		},
	};
};
