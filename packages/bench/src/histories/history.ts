import type {
	HostId, Milliseconds, RequestId, RunState,
} from '@gentianlift/types';

/** Answer that a caller received for its request. */
export type Answer = {
	ran: RunState;
	/** Body of the answer, for a request that ran or whose booking has a stored outcome. */
	body?: string;
	/** Error kind or claim decision, for an answer without a body. */
	reason?: string;
};

/** Event observed at a caller or an upstream; `told` records the answer that a caller received. */
export type HistoryEvent
	= | {kind: 'sent'; at: Milliseconds; booking: string; digest: string; request: RequestId; host: HostId}
		| {kind: 'told'; at: Milliseconds; booking: string; request: RequestId; answer: Answer}
	/** A streamed answer as received, with the answer expected for its prompt. */
		| {kind: 'answered'; at: Milliseconds; request: RequestId; isWhole: boolean; text: string; expected: string}
		| {kind: 'ran'; at: Milliseconds; booking: string; digest: string; request: RequestId; body: string};

/** Write that was applied in the key-value service. */
export type ServiceWrite = {at: Milliseconds; key: string; value: string | undefined};

/** Everything that callers, upstreams and the key-value service observed during a run. */
export type History = {
	events: HistoryEvent[];
	writes: readonly ServiceWrite[];
	/** Requests whose outcome must be stored: their host saw it and ran on for long enough to store it. */
	expectedSettlements: Array<{booking: string; request: RequestId}>;
};
