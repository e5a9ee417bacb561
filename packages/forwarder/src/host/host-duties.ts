import {getScaledServices, getZones, type ScaledService} from '@gentianlift/capacity';
import {reportLoopFailure, type Fleet, type HostRecord} from '@gentianlift/discovery';
import {
	createDuties, type Duties, type DutyName, type DutySubject,
} from '@gentianlift/duties';
import type {Metrics} from '@gentianlift/metrics';
import type {HostDependencies, HostSettings} from './host-settings.js';

/** What a host's duties are created from, besides its settings and dependencies. */
export type HostDutiesOptions = {
	record: HostRecord;
	fleet: Pick<Fleet, 'view' | 'chooseHosts'>;
	metrics: Metrics;
	onLoopFailure: (loop: string) => void;
};

/** Creates a function that returns the subjects of the fleet's duties; those of the last known configuration while none is in force. */
export const createDutySubjects = (names: readonly DutyName[], view: Pick<Fleet['view'], 'getRoutes' | 'getListedUpstreams'>): (() => DutySubject[]) => {
	let services: ScaledService[] = [];
	const getScaling = (): DutySubject[] => services.flatMap(service => {
		const zones = getZones(service, view.getListedUpstreams(service.name)).toSorted();
		return zones.map(zone => ({duty: 'scaling' as const, service: service.name, zone}));
	});

	return () => {
		const table = view.getRoutes();
		services = table === undefined ? services : getScaledServices(table);
		return [
			...(names.includes('usage') ? [{duty: 'usage'} as const] : []),
			...(names.includes('scaling') ? getScaling() : []),
		];
	};
};

/** Lets the host take part in the duties of its fleet; returns undefined if there are none. */
export const createHostDuties = ({duties: settings}: HostSettings, {
	clock, logger, store, operatorsService: service,
}: HostDependencies, {
	record, fleet, metrics, onLoopFailure,
}: HostDutiesOptions): Duties | undefined => {
	if (settings === undefined || service === undefined) {
		return undefined;
	}

	const {view, chooseHosts} = fleet;
	return createDuties({
		self: {host: record.host, incarnation: record.incarnation},
		settings,
		service,
		store,
		view: {getEntry: view.getEntry, getRevision: view.getRevision, chooseHosts},
		getSubjects: createDutySubjects(settings.names, view),
		clock,
		logger,
		metrics,
		onFailure(error) {
			reportLoopFailure('duties', error, {logger, onFailure: onLoopFailure});
		},
	});
};
