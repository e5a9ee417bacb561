/** Commands that a host accepts from operators. Each throws `bad-request` for an invalid body. */
export type OperatorCommands = {
	/** Begins a graceful shutdown; with `{"force": true}`, one that aborts the requests in flight. */
	drain: (body: unknown) => {state: string};
	/** Cancels a graceful shutdown while the host still accepts requests; throws `host-stopping` after that. */
	undrain: () => {state: string};
	/** Begins or ends the drain of an upstream on all hosts. */
	setUpstreamDrain: (upstream: string, isDraining: boolean) => {upstream: string; leaving: boolean};
	setLogLevel: (body: unknown) => {level: string};
};
