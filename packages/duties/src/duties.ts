import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Incarnation, KeyValueService} from '@gentianlift/types';
import {createCallPace} from './call-pace.js';
import {createCandidacy} from './candidacy.js';
import type {Duties, DutySettings, DutySubject} from './duty.js';
import {createDutyCalls, getCallDuration} from './duty-calls.js';
import {createDutyHolder} from './duty-holder.js';
import type {DutyView} from './duty-view.js';
import type {OperatorsService} from './operators-service.js';
import {createSeparation} from './separation.js';
import {getCandidateKey} from './subject-key.js';
import {dutyTiming} from './timing.js';

/** Dependencies of the duties of a host. */
export type DutiesOptions = {
	self: {host: HostId; incarnation: Incarnation};
	settings: DutySettings;
	service: OperatorsService;
	store: Pick<KeyValueService, 'compareAndSwap' | 'grantLease' | 'renewLease' | 'endLease'>;
	view: DutyView;
	/** Returns the subjects of the fleet, which may change with the configuration. */
	getSubjects: () => DutySubject[];
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	/** Called when a check of what is held and free has failed; the next follows all the same. */
	onFailure: (error: unknown) => void;
};

/** Takes part in the duties of the fleet, from now on until stopped. */
export const createDuties = ({
	self, settings, service, store, view, getSubjects, clock, logger, metrics, onFailure,
}: DutiesOptions): Duties => {
	const callDuration = getCallDuration(service.timeout);
	const separation = createSeparation(clock, settings.holderSeparation + callDuration);
	const candidacy = createCandidacy({
		host: self.host, view, separation, clock, logger, metrics,
	});
	const countHolders = (): number => new Set(getSubjects().map(subject => getCandidateKey(subject))).size;
	const calls = createDutyCalls({
		host: self.host,
		timeout: service.timeout,
		getHolding: (subject, duration) => holder.getHolding(subject, duration),
		pace: createCallPace(clock, {callsPerSecond: settings.callsPerSecond, countHolders}),
		separation,
		onFailing() {
			holder.giveUp('calls-failed').catch(onFailure);
		},
		clock,
		logger,
		metrics,
	});
	const holder = createDutyHolder({
		self, store, view, getSubjects, candidacy, endCalls: calls.end, clock, logger, metrics,
	});
	const {every} = clock;
	const stopChecks = every(dutyTiming.checkInterval, () => {
		holder.check().catch(onFailure);
	});
	let stopped: Promise<void> | undefined;
	return {
		isHeld: subject => holder.getHolding(subject, callDuration) !== undefined,
		getCandidates: candidacy.getCandidates,
		reportUsage: async report => calls.make({duty: 'usage'}, async call => service.reportUsage(report, call)),
		orderCapacity: async order => calls.make({duty: 'scaling', service: order.service, zone: order.zone}, async call => service.orderCapacity(order, call)),
		async stop() {
			stopChecks();
			stopped ??= holder.stop();
			await stopped;
		},
	};
};
