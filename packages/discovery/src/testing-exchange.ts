import {createSilentLogger} from '@gentianlift/logger';
import {createCrashSuspects} from '@gentianlift/routing';
import type {ReportExchangeOptions} from './exchange-reports.js';
import {createLoadTracker} from './load-tracker.js';

/** Builds the options of an exchange of load reports whose listeners do nothing, at revision 1 of a store that it doesn't reach. */
export const buildExchangeOptions = (options: Pick<ReportExchangeOptions, 'own' | 'getOthers' | 'clock'> & Partial<ReportExchangeOptions>): ReportExchangeOptions => ({
	logger: createSilentLogger(),
	loads: createLoadTracker(),
	suspects: createCrashSuspects(),
	getRevision: () => 1,
	getConfigurationVersion: () => undefined,
	isStoreReached: () => false,
	onPrefill: () => undefined,
	getLimits: () => [],
	onLimit: () => undefined,
	onCrash: () => undefined,
	onLeaving: () => undefined,
	onLoad: () => undefined,
	onStream: () => undefined,
	onChanges: () => true,
	...options,
});
