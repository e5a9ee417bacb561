import process from 'node:process';

/** Called with each signal. */
type SignalHandler = () => void;

/**
 * Holds a signal from now on; returns a function that sets its handler, which is called at once if the signal arrived before.
 * Called while modules are loaded, as these signals end a process that has no handler; `main.ts` imports only a few modules before.
 */
export const holdSignal = (signal: NodeJS.Signals): ((handler: SignalHandler) => void) => {
	const state: {handle: SignalHandler | undefined; isPending: boolean} = {handle: undefined, isPending: false};
	process.on(signal, () => {
		state.isPending = state.handle === undefined;
		state.handle?.();
	});
	return handler => {
		state.handle = handler;
		if (state.isPending) {
			state.isPending = false;
			handler();
		}
	};
};
