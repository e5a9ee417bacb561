/** What operators may tell a host to do; each throws `bad-request` for a body that it can't read. */
export type OperatorCommands = {
	/** Starts a graceful shutdown; with `{"force": true}` one that cuts requests short. */
	drain: (body: unknown) => {state: string};
	undrain: () => {state: string};
	setUpstreamDrain: (upstream: string, drain: boolean) => {upstream: string; leaving: boolean};
	setLogLevel: (body: unknown) => {level: string};
};
