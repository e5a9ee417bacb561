import {createRandom, createSystemClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {createHostListClient, createKeyValueClient, createWeightStoreClient} from '@gentianlift/platform';
import type {Settings} from '@gentianlift/types';
import {createUpstreamClient} from '@gentianlift/upstream';
import {createInFlightRequests} from '../in-flight-requests.js';

/** Creates the components that depend on the settings only: clock, random source, metrics, logger, and the clients of the platform services and of upstreams. */
export const createInfrastructure = (settings: Settings) => {
	const clock = createSystemClock();
	const incarnation = clock.now();
	const logger = createLogger(settings.logLevel);
	const platform = {clock, timeout: settings.silenceLimits.platform};
	return {
		settings,
		incarnation,
		clock,
		random: createRandom(settings.seed ?? incarnation),
		metrics: createMetrics(),
		logger,
		keyValue: createKeyValueClient({...platform, url: settings.keyValueUrl}),
		hostList: createHostListClient({...platform, url: settings.hostListUrl}),
		weightStore: createWeightStoreClient({...platform, url: settings.weightStoreUrl}),
		upstreams: createUpstreamClient({clock, silenceLimits: settings.silenceLimits}),
		inFlightRequests: createInFlightRequests({
			unreadTimeout: settings.silenceLimits.caller,
			onUnread(response) {
				logger.warn('answer-unread', {request: String(response.getHeader('x-request-id') ?? ''), status: response.statusCode});
			},
		}),
	};
};

/** Components that depend on the settings only. */
export type Infrastructure = ReturnType<typeof createInfrastructure>;
