import type {SendOutcome} from './send.js';

/** Phase of a request up to the head of its answer; each has its own time limit. */
export type SendPhase
	/** All connections of the pool are in use by other requests of this host. */
	= | 'waiting'
		| 'connecting'
	/** The upstream's incarnation is being confirmed. */
		| 'confirming'
	/** The request is sent, and may execute. */
		| 'sent';

/** Returns the outcome of a request that failed in a phase. */
export const getFailure = (phase: SendPhase, reason: string): SendOutcome => {
	switch (phase) {
		case 'waiting':
		case 'confirming': {
			return {kind: 'unsent', reason};
		}

		case 'connecting': {
			return {kind: 'unreachable', reason};
		}

		case 'sent': {
			return {kind: 'broken', reason};
		}
	}
};

/** Returns the outcome of a request that exceeded the time limit of a phase. */
export const getTimeoutOutcome = (phase: SendPhase): SendOutcome => {
	switch (phase) {
		case 'waiting': {
			return getFailure(phase, 'pool-timeout');
		}

		case 'confirming': {
			return getFailure(phase, 'unconfirmed');
		}

		case 'connecting': {
			return getFailure(phase, 'connect-timeout');
		}

		case 'sent': {
			return {kind: 'silent'};
		}
	}
};
