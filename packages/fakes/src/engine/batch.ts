import type {Milliseconds} from '@gentianlift/types';
import type {EngineSettings} from './options.js';

/** A generation in an engine's queue or in its running batch. */
export type Generation = {
	id: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Order of arrival, within a priority. */
	sequence: number;
	/** Tokens to prefill: uncached prompt tokens and those of a resumed answer. */
	prefillTokens: number;
	/** KV cache that the generation reserves, in tokens: its prompt and its whole answer. */
	cacheTokens: number;
	/** Index of the next token; a resumed answer starts after the tokens that the caller has. */
	nextIndex: number;
	length: number;
	/** Monotonic time at which the prefill ends; set when the generation is admitted. */
	prefillEndsAt: Milliseconds;
	/** Whether the receiver keeps up; false pauses the generation. */
	canSend: () => boolean;
	onStart: () => void;
	onToken: (index: number) => void;
	onEnd: () => void;
};

/** Speeds and limits of a batch. Times are in simulated milliseconds, which `timeFactor` scales. */
export type BatchOptions = Pick<EngineSettings, 'slots' | 'stepTime' | 'stepTimePerRunning' | 'prefillTokensPerSecond' | 'cacheTokens' | 'timeFactor' | 'clock'> & {
	/** Returns the factor by which prefill and steps are slowed down. */
	getSlowFactor: () => number;
};

/** Continuous batching: each step generates one token for every running generation whose prefill has ended. */
export type Batch = {
	add: (generation: Generation) => void;
	remove: (generation: Generation) => void;
	/** Removes and returns all generations. */
	clear: () => Generation[];
	/** Generates nothing for `duration`. */
	stall: (duration: Milliseconds) => void;
	countRunning: () => number;
	countWaiting: () => number;
	/** Returns the fraction of the KV cache that running generations use. */
	getCacheUse: () => number;
	close: () => void;
};

const millisecondsPerSecond = 1000;
const minTickDelay: Milliseconds = 1;
/** Maximum backlog of steps that is caught up after a delayed tick. */
const maxCatchUp: Milliseconds = 50;

/** Whether a generation is admitted before another: by priority, then in order of arrival. */
const isBefore = (left: Generation, right: Generation): boolean =>
	left.priority < right.priority || (left.priority === right.priority && left.sequence < right.sequence);

/** Creates an empty batch. */
export const createBatch = (options: BatchOptions): Batch => {
	const {clock} = options;
	const queue: Generation[] = [];
	const running = new Set<Generation>();
	/** Monotonic time at which the prefills admitted so far end. */
	let prefillFreeAt: Milliseconds = 0;
	let nextStepAt: Milliseconds = 0;
	let usedCacheTokens = 0;
	let cancelTick: (() => void) | undefined;

	const getStepTime = (): Milliseconds =>
		(options.stepTime + (options.stepTimePerRunning * running.size)) * options.getSlowFactor() / options.timeFactor;

	/** Moves a generation into the running batch; prefills run one after another. */
	const start = (generation: Generation): void => {
		const prefillRate = options.prefillTokensPerSecond * options.timeFactor / options.getSlowFactor();
		const prefillStartsAt = Math.max(clock.monotonic(), prefillFreeAt);
		generation.prefillEndsAt = prefillStartsAt + (generation.prefillTokens / prefillRate * millisecondsPerSecond);
		prefillFreeAt = generation.prefillEndsAt;
		usedCacheTokens += generation.cacheTokens;
		running.add(generation);
		generation.onStart();
	};

	const release = (generation: Generation): void => {
		if (running.delete(generation)) {
			usedCacheTokens -= generation.cacheTokens;
		}
	};

	/** Whether slots and KV cache suffice; an empty batch admits a generation of any size, so that none waits forever. */
	const canAdmit = (generation: Generation): boolean =>
		running.size === 0 || (running.size < options.slots && usedCacheTokens + generation.cacheTokens <= options.cacheTokens);

	/** Admits from the head of the queue; a generation that doesn't fit blocks those behind it. */
	const admitQueued = (): void => {
		for (let next = queue[0]; next !== undefined && canAdmit(next); next = queue[0]) {
			queue.shift();
			start(next);
		}
	};

	const step = (stepAt: Milliseconds): void => {
		for (const generation of running) {
			if (generation.prefillEndsAt > stepAt || !generation.canSend()) {
				continue;
			}

			generation.onToken(generation.nextIndex);
			generation.nextIndex++;
			if (generation.nextIndex >= generation.length) {
				release(generation);
				generation.onEnd();
			}
		}

		admitQueued();
	};

	const tick = (): void => {
		cancelTick = undefined;
		const now = clock.monotonic();
		nextStepAt = Math.max(nextStepAt, now - maxCatchUp);
		while (running.size > 0 && nextStepAt <= now) {
			step(nextStepAt);
			nextStepAt += getStepTime();
		}

		scheduleTick();
	};

	const scheduleTick = (): void => {
		if (cancelTick === undefined && running.size > 0) {
			cancelTick = clock.after(Math.max(minTickDelay, nextStepAt - clock.monotonic()), tick);
		}
	};

	return {
		add(generation) {
			if (running.size === 0) {
				nextStepAt = Math.max(nextStepAt, clock.monotonic() + getStepTime());
			}

			const position = queue.findIndex(other => isBefore(generation, other));
			queue.splice(position === -1 ? queue.length : position, 0, generation);
			admitQueued();
			scheduleTick();
		},
		remove(generation) {
			release(generation);
			const position = queue.indexOf(generation);
			if (position !== -1) {
				queue.splice(position, 1);
			}

			admitQueued();
			scheduleTick();
		},
		clear() {
			const removed = [...running, ...queue];
			running.clear();
			queue.length = 0;
			usedCacheTokens = 0;
			prefillFreeAt = 0;
			return removed;
		},
		stall(duration) {
			nextStepAt = clock.monotonic() + duration;
		},
		countRunning: () => running.size,
		countWaiting: () => queue.length,
		getCacheUse: () => Math.min(1, usedCacheTokens / options.cacheTokens),
		close() {
			cancelTick?.();
		},
	};
};
