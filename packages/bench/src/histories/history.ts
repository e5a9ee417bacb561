import type {
	HostId, Milliseconds, RequestId, RunState,
} from '@gentianlift/types';

/** What a caller was told of its request. */
export type Answer = {
	ran: RunState;
	/** Body of the answer, for a request that ran or whose booking has a stored outcome. */
	body?: string;
	/** Error kind or decision, for a request without a body. */
	reason?: string;
};

/** One thing seen at a caller or an upstream, in the order of time. */
export type HistoryEvent
	= | {kind: 'sent'; at: Milliseconds; booking: string; digest: string; request: RequestId; host: HostId}
		| {kind: 'told'; at: Milliseconds; booking: string; request: RequestId; answer: Answer}
	/** A streamed answer as it arrived, and the answer that its prompt has. */
		| {kind: 'answered'; at: Milliseconds; request: RequestId; isWhole: boolean; text: string; expected: string}
		| {kind: 'ran'; at: Milliseconds; booking: string; digest: string; request: RequestId; body: string};

/** A write that took effect in the key-value service. */
export type ServiceWrite = {at: Milliseconds; key: string; value: string | undefined};

/** All that callers, upstreams and the service saw of a run. */
export type History = {
	events: HistoryEvent[];
	writes: readonly ServiceWrite[];
	/** Bookings whose host lives and whose settlement had time to be stored. */
	settled: Array<{booking: string; request: RequestId}>;
};
