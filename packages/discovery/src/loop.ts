import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Dependencies of a loop; `onFailure` is called with its name, for metrics. */
export type LoopOptions = {clock: Clock; logger: Logger; onFailure?: ((loop: string) => void) | undefined};

/** A loop that runs until it is stopped. */
export type Loop = {stop: () => void};

/** Pause after a step that has failed. */
const failurePause: Milliseconds = 500;

/** Logs and counts the failure of a step of a loop, which goes on. */
export const reportLoopFailure = (loop: string, error: unknown, {logger, onFailure}: Pick<LoopOptions, 'logger' | 'onFailure'>): void => {
	logger.error('loop-failed', {loop, reason: error instanceof Error ? error.stack : String(error)});
	onFailure?.(loop);
};

/** Runs a step again and again; each returns the pause until the next. No error ends the loop. */
export const startLoop = (name: string, step: () => Promise<Milliseconds>, options: LoopOptions): Loop => {
	const state = {isStopped: false};

	const runStep = async (): Promise<Milliseconds> => {
		try {
			return await step();
		} catch (error) {
			reportLoopFailure(name, error, options);
			return failurePause;
		}
	};

	const run = async (): Promise<void> => {
		while (!state.isStopped) {
			// eslint-disable-next-line no-await-in-loop -- One step at a time.
			const pause = await runStep();
			if (pause > 0) {
				// eslint-disable-next-line no-await-in-loop -- Steps are separated by pauses.
				await options.clock.sleep(pause);
			}
		}
	};

	void run();
	return {
		stop() {
			state.isStopped = true;
		},
	};
};
