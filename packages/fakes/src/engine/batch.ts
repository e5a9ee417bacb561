import type {Milliseconds} from '@gentianlift/types';
import type {Clock} from '@gentianlift/clock';

/** A generation in an engine's queue or batch. */
export type Generation = {
	id: string;
	/** 0 is the most urgent. */
	priority: number;
	order: number;
	/** Prompt tokens that are not cached. */
	prefillTokens: number;
	/** Tokens of KV cache that the generation takes at its end. */
	cacheTokens: number;
	/** Tokens sent so far, with those of a resumed answer. */
	index: number;
	length: number;
	/** Moment on the monotonic clock at which the prefill ends. */
	readyAt: Milliseconds;
	/** False while the receiver can't take more. */
	canSend: () => boolean;
	onStart: () => void;
	onToken: (index: number) => void;
	onEnd: () => void;
};

/** Speeds and limits of a batch, in milliseconds of the fake's own time. */
export type BatchOptions = {
	slots: number;
	stepTime: Milliseconds;
	stepTimePerRunning: Milliseconds;
	prefillTokensPerSecond: number;
	cacheTokens: number;
	/** Speed of the fake's time against the clock's. */
	timeFactor: number;
	clock: Clock;
	getSlowFactor: () => number;
};

/** Continuous batch: one token a step for each running generation. */
export type Batch = {
	add: (generation: Generation) => void;
	remove: (generation: Generation) => void;
	clear: () => Generation[];
	stall: (duration: Milliseconds) => void;
	getRunning: () => number;
	getWaiting: () => number;
	/** Part of the KV cache that running generations take. */
	getCacheUse: () => number;
	close: () => void;
};

const millisecondsPerSecond = 1000;
const shortestTick: Milliseconds = 1;
const longestCatchUp: Milliseconds = 50;

const isBefore = (left: Generation, right: Generation): boolean =>
	left.priority < right.priority || (left.priority === right.priority && left.order < right.order);

/** Creates an empty batch. */
export const createBatch = (options: BatchOptions): Batch => {
	const {clock} = options;
	const waiting: Generation[] = [];
	const running = new Set<Generation>();
	let prefillFreeAt: Milliseconds = 0;
	let nextStepAt: Milliseconds = 0;
	let takenTokens = 0;
	let cancelTick: (() => void) | undefined;

	const getStepTime = (): Milliseconds =>
		(options.stepTime + (options.stepTimePerRunning * running.size)) * options.getSlowFactor() / options.timeFactor;

	const start = (generation: Generation): void => {
		const rate = options.prefillTokensPerSecond * options.timeFactor / options.getSlowFactor();
		const from = Math.max(clock.monotonic(), prefillFreeAt);
		generation.readyAt = from + (generation.prefillTokens / rate * millisecondsPerSecond);
		prefillFreeAt = generation.readyAt;
		takenTokens += generation.cacheTokens;
		running.add(generation);
		generation.onStart();
	};

	const drop = (generation: Generation): void => {
		if (running.delete(generation)) {
			takenTokens -= generation.cacheTokens;
		}
	};

	const fits = (generation: Generation): boolean =>
		running.size === 0 || (running.size < options.slots && takenTokens + generation.cacheTokens <= options.cacheTokens);

	const admit = (): void => {
		for (let next = waiting[0]; next !== undefined && fits(next); next = waiting[0]) {
			waiting.shift();
			start(next);
		}
	};

	const step = (at: Milliseconds): void => {
		for (const generation of running) {
			if (generation.readyAt > at || !generation.canSend()) {
				continue;
			}

			generation.onToken(generation.index);
			generation.index++;
			if (generation.index >= generation.length) {
				drop(generation);
				generation.onEnd();
			}
		}

		admit();
	};

	const tick = (): void => {
		cancelTick = undefined;
		const now = clock.monotonic();
		nextStepAt = Math.max(nextStepAt, now - longestCatchUp);
		while (running.size > 0 && nextStepAt <= now) {
			step(nextStepAt);
			nextStepAt += getStepTime();
		}

		schedule();
	};

	const schedule = (): void => {
		if (cancelTick === undefined && running.size > 0) {
			cancelTick = clock.after(Math.max(shortestTick, nextStepAt - clock.monotonic()), tick);
		}
	};

	return {
		add(generation) {
			if (running.size === 0) {
				nextStepAt = Math.max(nextStepAt, clock.monotonic() + getStepTime());
			}

			const place = waiting.findIndex(other => isBefore(generation, other));
			waiting.splice(place === -1 ? waiting.length : place, 0, generation);
			admit();
			schedule();
		},
		remove(generation) {
			drop(generation);
			const place = waiting.indexOf(generation);
			if (place !== -1) {
				waiting.splice(place, 1);
			}

			admit();
			schedule();
		},
		clear() {
			const all = [...running, ...waiting];
			running.clear();
			waiting.length = 0;
			takenTokens = 0;
			prefillFreeAt = 0;
			return all;
		},
		stall(duration) {
			nextStepAt = clock.monotonic() + duration;
		},
		getRunning: () => running.size,
		getWaiting: () => waiting.length,
		getCacheUse: () => Math.min(1, takenTokens / options.cacheTokens),
		close() {
			cancelTick?.();
		},
	};
};
