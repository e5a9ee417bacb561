import {reportLoopFailure, type Fleet, type HostRecord} from '@gentianlift/discovery';
import type {Duties} from '@gentianlift/duties';
import type {Metrics} from '@gentianlift/metrics';
import {createUsageReports, type UsageReports} from '@gentianlift/usage';
import type {HostDependencies, HostSettings} from './host-settings.js';

/** What a host's usage reports are created from, besides its settings and dependencies. */
export type HostUsageOptions = {
	record: HostRecord;
	fleet: Pick<Fleet, 'view' | 'messages' | 'getAvailableOthers' | 'getStoppingOthers'>;
	/** Duties of the fleet; undefined if there are none. */
	duties: Duties | undefined;
	metrics: Metrics;
	onLoopFailure: (loop: string) => void;
};

/** Lets the host count the requests of customers and take part in reporting them; returns undefined if the fleet's usage isn't reported. */
export const createHostUsage = ({duties: settings}: HostSettings, {clock, logger, store}: HostDependencies, {
	record, fleet, duties, metrics, onLoopFailure,
}: HostUsageOptions): UsageReports | undefined => {
	if (duties === undefined || !settings?.names.includes('usage')) {
		return undefined;
	}

	return createUsageReports({
		self: record,
		duties,
		settings,
		messages: fleet.messages,
		getSources: () => [record, ...fleet.getAvailableOthers(), ...fleet.getStoppingOthers()],
		store,
		getEntry: fleet.view.getEntry,
		getRevision: fleet.view.getRevision,
		clock,
		logger,
		metrics,
		onFailure(error) {
			reportLoopFailure('usage', error, {logger, onFailure: onLoopFailure});
		},
	});
};
