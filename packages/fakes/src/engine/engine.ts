import type {FencedOrder, EngineLoadReport, Milliseconds} from '@gentianlift/types';
import {
	createListener, readJson, sendEmpty, sendJson, type Exchange, type Listener,
} from '../listener.js';
import {createFaultControl, type Faults} from '../faults.js';
import {createBatch} from './batch.js';
import {createPrefixCache} from './prefix-cache.js';
import {createGenerations} from './generations.js';
import {createDelayedLoadReports} from './delayed-load-reports.js';
import {createEngineRandom, getEngineSettings, type EngineOptions} from './options.js';
import {createOrderExecutor} from './orders.js';

/** Running fake of a model engine. */
export type FakeEngine = {
	listener: Listener;
	faults: Faults;
	getState: () => EngineState;
	close: () => Promise<void>;
};

/** Body of an engine's answer to `GET /fake/state`. */
export type EngineState = ReturnType<ReturnType<typeof createEngineComponents>['getState']>;

const defaultRestartDelay: Milliseconds = 2000;

const createEngineComponents = (options: EngineOptions, faults: Faults) => {
	const settings = getEngineSettings(options);
	const random = createEngineRandom(settings);
	const {clock} = settings;
	const batch = createBatch({...settings, getSlowFactor: () => faults.slowFactor ?? 1});
	const cache = createPrefixCache({
		maxChunks: settings.cacheChunks, eventDelay: settings.eventDelay, eventLossProbability: settings.eventLossProbability, clock, random,
	});
	const orders = createOrderExecutor(settings);
	const generations = createGenerations({
		settings, batch, cache, holdings: orders.holdings, faults,
	});
	const getReport = (): EngineLoadReport => ({
		at: clock.now(),
		running: batch.countRunning(),
		waiting: batch.countWaiting(),
		cacheUse: batch.getCacheUse(),
		tokensPerSecond: generations.getTokensPerSecond(),
		models: [...orders.holdings.models],
		adapters: [...orders.holdings.adapters],
		role: orders.holdings.role,
		leaving: faults.leaving ?? false,
	});
	const reports = createDelayedLoadReports(clock, settings.reportDelay, getReport);
	const getState = () => ({
		...generations.getCounts(),
		running: batch.countRunning(),
		waiting: batch.countWaiting(),
		cachedChunks: cache.getSize(),
		holdings: {models: [...orders.holdings.models], adapters: [...orders.holdings.adapters], role: orders.holdings.role},
		orders: orders.records,
		faults,
	});
	return {
		settings, random, batch, cache, orders, generations, reports, getState,
	};
};

type EngineComponents = ReturnType<typeof createEngineComponents>;

/** Handles the export and import of a cached chunk. Chunks carry no data: an export only confirms that the chunk is cached. */
const handleCacheTransfer = async ({request, response, url}: Exchange, {cache}: EngineComponents): Promise<void> => {
	const {chunk} = await readJson(request) as {chunk: string};
	if (url.pathname.endsWith('/import')) {
		cache.store([chunk]);
		sendJson(response, 200, {imported: true});
		return;
	}

	sendJson(response, cache.has(chunk) ? 200 : 404, {chunk});
};

const routeRequest = async (exchange: Exchange, components: EngineComponents): Promise<void> => {
	const {request, response, url, method} = exchange;
	switch (`${method} ${url.pathname}`) {
		case 'POST /v1/chat/completions': {
			await components.generations.start(exchange);
			return;
		}

		case 'GET /v1/load': {
			sendJson(response, 200, components.reports.read());
			return;
		}

		case 'GET /v1/cache-events': {
			sendJson(response, 200, components.cache.readEvents(Number(url.searchParams.get('after') ?? 0)));
			return;
		}

		case 'POST /v1/orders': {
			const {status, body} = await components.orders.apply(await readJson(request) as FencedOrder);
			sendJson(response, status, body);
			return;
		}

		case 'POST /v1/cache/export':
		case 'POST /v1/cache/import': {
			await handleCacheTransfer(exchange, components);
			return;
		}

		case 'GET /health': {
			sendJson(response, 200, {status: 'ok'});
			return;
		}

		default: {
			handleOther(exchange, components);
		}
	}
};

/** Handles the cancellation of a generation, whose path contains its id; other paths aren't found. */
const handleOther = ({response, url, method}: Exchange, {generations}: EngineComponents): void => {
	const generationsPath = '/v1/generations/';
	if (method === 'DELETE' && url.pathname.startsWith(generationsPath)) {
		const id = decodeURIComponent(url.pathname.slice(generationsPath.length));
		sendEmpty(response, generations.cancel(id) ? 204 : 404);
		return;
	}

	sendJson(response, 404, {error: {code: 'not-found'}});
};

/** Starts a fake model engine. */
export const createFakeEngine = async (options: EngineOptions = {}): Promise<FakeEngine> => {
	const faults: Faults = {};
	const components = createEngineComponents(options, faults);
	const {settings} = components;

	const crash = async (): Promise<void> => {
		components.generations.abortAll();
		components.cache.clear();
		await listener.crash();
		const delay = faults.restartAfterMs ?? defaultRestartDelay;
		if (delay > 0) {
			settings.clock.after(delay, () => {
				void listener.restart();
			});
		}
	};

	const onChange = async (change: Faults): Promise<void> => {
		if (change.stallMs !== undefined) {
			components.batch.stall(change.stallMs);
		}

		if (change.silent !== undefined) {
			components.generations.silenceAll();
		}

		if (change.crash === true) {
			faults.crash = false;
			await crash();
		}
	};

	const control = createFaultControl({
		faults, clock: settings.clock, random: components.random, getState: components.getState, onChange,
	});
	components.generations.setCrashHandler(crash);
	const listener = await createListener(options, async exchange => {
		if (await control.handleControlRequest(exchange) || await control.applyFaults(exchange) !== 'serve') {
			return;
		}

		await routeRequest(exchange, components);
	});
	return {
		listener,
		faults,
		getState: components.getState,
		async close() {
			components.reports.close();
			components.batch.close();
			await listener.crash();
		},
	};
};
