import type {FencedOrder, LoadReport, Milliseconds} from '@gentianlift/types';
import {
	createListener, readJson, sendEmpty, sendJson, type Exchange, type Listener,
} from '../listener.js';
import {createFaultControl, type Faults} from '../faults.js';
import {createBatch} from './batch.js';
import {createPrefixCache} from './cache.js';
import {createGenerations} from './generations.js';
import {createReports} from './load.js';
import {createEngineRandom, getEngineSettings, type EngineOptions} from './options.js';
import {createOrders} from './orders.js';

/** A running fake engine. */
export type FakeEngine = {
	listener: Listener;
	faults: Faults;
	getState: () => EngineState;
	close: () => Promise<void>;
};

/** What `GET /fake/state` of an engine tells. */
export type EngineState = ReturnType<ReturnType<typeof createEngineParts>['getState']>;

const defaultRestart: Milliseconds = 2000;

const createEngineParts = (options: EngineOptions, faults: Faults) => {
	const settings = getEngineSettings(options);
	const random = createEngineRandom(settings);
	const {clock} = settings;
	const batch = createBatch({...settings, getSlowFactor: () => faults.slowFactor ?? 1});
	const cache = createPrefixCache({
		chunks: settings.cacheChunks, eventLag: settings.eventLag, eventLoss: settings.eventLoss, clock, random,
	});
	const orders = createOrders(settings);
	const generations = createGenerations({
		settings, batch, cache, holdings: orders.holdings, faults,
	});
	const getReport = (): LoadReport => ({
		at: clock.now(),
		running: batch.getRunning(),
		waiting: batch.getWaiting(),
		cacheUse: batch.getCacheUse(),
		tokensPerSecond: generations.getTokensPerSecond(),
		models: [...orders.holdings.models],
		adapters: [...orders.holdings.adapters],
		role: orders.holdings.role,
		leaving: faults.leaving ?? false,
	});
	const reports = createReports(clock, settings.reportLag, getReport);
	const getState = () => ({
		...generations.getCounts(),
		running: batch.getRunning(),
		waiting: batch.getWaiting(),
		cachedChunks: cache.getSize(),
		holdings: {models: [...orders.holdings.models], adapters: [...orders.holdings.adapters], role: orders.holdings.role},
		orders: orders.records,
		faults,
	});
	return {
		settings, random, batch, cache, orders, generations, reports, getState,
	};
};

type EngineParts = ReturnType<typeof createEngineParts>;

const handleCache = async ({request, response, url}: Exchange, {cache}: EngineParts): Promise<void> => {
	const {chunk} = await readJson(request) as {chunk: string};
	if (url.pathname.endsWith('/import')) {
		cache.store([chunk]);
		sendJson(response, 200, {imported: true});
		return;
	}

	sendJson(response, cache.has(chunk) ? 200 : 404, {chunk});
};

const handleEngine = async (exchange: Exchange, parts: EngineParts): Promise<void> => {
	const {request, response, url, method} = exchange;
	switch (`${method} ${url.pathname}`) {
		case 'POST /v1/chat/completions': {
			await parts.generations.start(exchange);
			return;
		}

		case 'GET /v1/load': {
			sendJson(response, 200, parts.reports.read());
			return;
		}

		case 'GET /v1/cache-events': {
			sendJson(response, 200, parts.cache.readEvents(Number(url.searchParams.get('after') ?? 0)));
			return;
		}

		case 'POST /v1/orders': {
			const {status, body} = await parts.orders.apply(await readJson(request) as FencedOrder);
			sendJson(response, status, body);
			return;
		}

		case 'POST /v1/cache/export':
		case 'POST /v1/cache/import': {
			await handleCache(exchange, parts);
			return;
		}

		case 'GET /health': {
			sendJson(response, 200, {status: 'ok'});
			return;
		}

		default: {
			handleOther(exchange, parts);
		}
	}
};

const handleOther = ({response, url, method}: Exchange, {generations}: EngineParts): void => {
	const path = '/v1/generations/';
	if (method === 'DELETE' && url.pathname.startsWith(path)) {
		const id = decodeURIComponent(url.pathname.slice(path.length));
		sendEmpty(response, generations.cancel(id) ? 204 : 404);
		return;
	}

	sendJson(response, 404, {error: {code: 'not-found'}});
};

/** Starts a fake model engine on a loopback port. */
export const createEngine = async (options: EngineOptions = {}): Promise<FakeEngine> => {
	const faults: Faults = {};
	const parts = createEngineParts(options, faults);
	const {settings} = parts;

	const crash = async (): Promise<void> => {
		parts.generations.abandon();
		parts.cache.clear();
		await listener.crash();
		const delay = faults.restartAfterMs ?? defaultRestart;
		if (delay > 0) {
			settings.clock.after(delay, () => {
				void listener.restart();
			});
		}
	};

	const onChange = async (change: Faults): Promise<void> => {
		if (change.stallMs !== undefined) {
			parts.batch.stall(change.stallMs);
		}

		if (change.silent !== undefined) {
			parts.generations.silence();
		}

		if (change.crash === true) {
			faults.crash = false;
			await crash();
		}
	};

	const control = createFaultControl({
		faults, clock: settings.clock, random: parts.random, getState: parts.getState, onChange,
	});
	parts.generations.onCrash(crash);
	const listener = await createListener(options, async exchange => {
		if (await control.handleControl(exchange) || await control.applyFaults(exchange) !== 'serve') {
			return;
		}

		await handleEngine(exchange, parts);
	});
	return {
		listener,
		faults,
		getState: parts.getState,
		async close() {
			parts.reports.close();
			parts.batch.close();
			await listener.crash();
		},
	};
};
