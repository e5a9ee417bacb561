import type {ServerResponse} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';
import type {Faults} from '../faults.js';
import {readJson, sendJson, type Exchange} from '../listener.js';
import {computeAnswer, getAnswerText} from './answer.js';
import type {Batch} from './batch.js';
import type {PrefixCache} from './prefix-cache.js';
import {
	createLiveGeneration, getHeader, type GenerationBody, type LiveGeneration,
} from './live-generation.js';
import type {EngineSettings} from './options.js';
import type {Holdings} from './orders.js';

/** Dependencies of an engine's generations. */
export type GenerationDependencies = {
	settings: EngineSettings;
	batch: Batch;
	cache: PrefixCache;
	holdings: Holdings;
	faults: Faults;
};

/** Counters of an engine since its start. */
export type GenerationCounts = {
	received: number;
	started: number;
	finished: number;
	cancelled: number;
	refused: number;
	crashes: number;
	tokensGenerated: number;
	/** Tokens generated for answers that were aborted before they were complete. */
	tokensWasted: number;
	/** Generated tokens by the `#tag=` of their prompt. */
	tokensByTag: Record<string, number>;
};

const millisecondsPerSecond = 1000;
const tokenRateWindow: Milliseconds = 2000;

const sendRefusal = (response: ServerResponse, code: string): void => {
	sendJson(response, 503, {error: {code}}, {'x-ran': 'not-run'});
};

const isGenerationBody = (body: unknown): body is GenerationBody =>
	typeof body === 'object' && body !== null && Array.isArray((body as GenerationBody).messages) && typeof (body as GenerationBody).model === 'string';

/** Creates a meter of the tokens generated per second, averaged over consecutive windows. */
const createTokenRateMeter = (settings: EngineSettings) => {
	let windowStart = settings.clock.monotonic();
	let count = 0;
	let rate = 0;
	return {
		add() {
			count++;
		},
		read() {
			const elapsed = settings.clock.monotonic() - windowStart;
			if (elapsed >= tokenRateWindow) {
				rate = count / elapsed * millisecondsPerSecond;
				windowStart += elapsed;
				count = 0;
			}

			return rate;
		},
	};
};

/** Creates the component of an engine that generates answers. */
export const createGenerations = (dependencies: GenerationDependencies) => {
	const {settings, batch, cache, holdings, faults} = dependencies;
	const liveGenerations = new Map<string, LiveGeneration>();
	const tokenRate = createTokenRateMeter(settings);
	const counts: GenerationCounts = {
		received: 0, started: 0, finished: 0, cancelled: 0, refused: 0, crashes: 0, tokensGenerated: 0, tokensWasted: 0, tokensByTag: {},
	};
	let nextSequence = 0;
	let crash: () => Promise<void> = async () => undefined;

	/** Removes a generation in flight and counts its tokens as wasted. */
	const abortGeneration = (id: string): LiveGeneration | undefined => {
		const entry = liveGenerations.get(id);
		if (entry === undefined) {
			return undefined;
		}

		liveGenerations.delete(id);
		batch.remove(entry.generation);
		counts.cancelled++;
		counts.tokensWasted += entry.generation.nextIndex - entry.resumedTokens;
		return entry;
	};

	const countToken = (tag: string): void => {
		counts.tokensGenerated++;
		counts.tokensByTag[tag] = (counts.tokensByTag[tag] ?? 0) + 1;
		tokenRate.add();
	};

	const getRefusal = (body: GenerationBody): string | undefined => {
		if (faults.leaving === true) {
			return 'leaving';
		}

		if (faults.refuse === true) {
			return 'busy';
		}

		return holdings.models.has(body.model) || holdings.adapters.has(body.model) ? undefined : 'model-not-loaded';
	};

	const createTrackedGeneration = (id: string, body: GenerationBody, exchange: Exchange): LiveGeneration => {
		const isCrashTrigger = faults.crashOnPrompt !== undefined && JSON.stringify(body.messages).includes(faults.crashOnPrompt);
		return createLiveGeneration({
			id, body, exchange, sequence: nextSequence++, meanTokens: settings.meanTokens, countCached: cache.countCached,
			onStart(prefix) {
				counts.started++;
				cache.store(prefix);
			},
			onToken(tag) {
				if (isCrashTrigger) {
					void crash();
				} else {
					countToken(tag);
				}

				return !isCrashTrigger;
			},
			onEnd() {
				liveGenerations.delete(id);
				counts.finished++;
			},
		});
	};

	/** Whether the resumed part is a prefix of the answer. */
	const isResumable = (body: GenerationBody): boolean => {
		if (body.resume === undefined) {
			return true;
		}

		const answer = computeAnswer(body, settings.meanTokens);
		return getAnswerText(answer, body.resume.tokens) === body.resume.text;
	};

	return {
		async start(exchange: Exchange): Promise<void> {
			const {response} = exchange;
			counts.received++;
			const body = await readJson(exchange.request);
			if (!isGenerationBody(body) || !isResumable(body)) {
				sendJson(response, 400, {error: {code: 'bad-request'}}, {'x-ran': 'not-run'});
				return;
			}

			const refusal = getRefusal(body);
			if (refusal !== undefined) {
				counts.refused++;
				sendRefusal(response, refusal);
				return;
			}

			const id = getHeader(exchange, 'x-request-id') || `fake-${nextSequence}`;
			abortGeneration(id);
			const entry = createTrackedGeneration(id, body, exchange);
			liveGenerations.set(id, entry);
			response.on('close', () => {
				if (liveGenerations.get(id) === entry) {
					abortGeneration(id);
				}
			});
			batch.add(entry.generation);
		},
		cancel(id: string): boolean {
			const entry = abortGeneration(id);
			entry?.response.destroy();
			return entry !== undefined;
		},
		/** Counts a crash and aborts all generations. The batch is cleared first, so that no queued generation is admitted in between. */
		abortAll(): void {
			counts.crashes++;
			batch.clear();
			for (const id of liveGenerations.keys()) {
				abortGeneration(id);
			}
		},
		/** Stops writing to the responses in flight and keeps their connections open. */
		silenceAll(): void {
			for (const entry of liveGenerations.values()) {
				entry.isSilenced = true;
			}
		},
		setCrashHandler(run: () => Promise<void>): void {
			crash = run;
		},
		getTokensPerSecond: () => tokenRate.read(),
		getCounts: () => ({...counts}),
	};
};
