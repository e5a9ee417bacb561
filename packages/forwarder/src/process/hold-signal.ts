import process from 'node:process';

/** Called with each signal. */
export type SignalHandler = (signal: NodeJS.Signals) => void;

/**
 * Holds signals from now on; returns a function that sets their handler, which is called at once with the last one that arrived before.
 * Called while modules are loaded, as these signals end a process that has no handler; `main.ts` imports only a few modules before.
 */
export const holdSignal = (...signals: NodeJS.Signals[]): ((handler: SignalHandler) => void) => {
	const state: {handle: SignalHandler | undefined; pending: NodeJS.Signals | undefined} = {handle: undefined, pending: undefined};
	for (const signal of signals) {
		process.on(signal, () => {
			if (state.handle === undefined) {
				state.pending = signal;
			} else {
				state.handle(signal);
			}
		});
	}

	return handler => {
		const {pending} = state;
		state.handle = handler;
		state.pending = undefined;
		if (pending !== undefined) {
			handler(pending);
		}
	};
};
