import {
	applyVersion, chooseReading, getPublishStep, type FollowerState, type Publication,
} from '@gentianlift/distribution';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {explore, exploreGraph} from '../explore.js';
import {
	configurationChecks, hostFaultBounds, operatorFaultBounds,
} from './checks.js';
import {createDistributionSpecification} from './specification.js';
import type {
	Host, Operator, DistributionBounds, DistributionEvent, DistributionState,
} from './state.js';

const createVersion = (version: number, token: string): ConfigurationVersion => ({
	version, token, author: '', acceptedAt: 0, note: '', configuration: token as unknown as Configuration,
});

const getTransitions = (bounds: DistributionBounds): Array<{before: DistributionState; event: DistributionEvent; after: DistributionState}> => {
	const specification = createDistributionSpecification(bounds);
	return [...exploreGraph(specification).states.values()].flatMap(before =>
		specification.getEvents(before).map(event => ({before, event, after: specification.apply(before, event)})));
};

const getPublishStepKind = ({service, accepted}: DistributionState, {token, base, hasUncertainWrite}: Operator): string => {
	const publication: Publication = {
		configuration: token as unknown as Configuration, base, token, author: '', note: '',
	};
	const finding = {current: createVersion(service.version, service.token)};
	const step = getPublishStep(publication, finding, hasUncertainWrite);
	if (step.kind !== 'read-successor') {
		return step.kind;
	}

	const successor = createVersion(step.version, accepted[step.version - 1]!.token);
	return getPublishStep(publication, {...finding, successor}, hasUncertainWrite).kind;
};

test('getPublishStep decides as the specification does in every reachable state', () => {
	const stepByPhase: Record<string, string> = {applied: 'accepted', write: 'write', conflict: 'conflict'};
	const settleTransitions = getTransitions(operatorFaultBounds).filter(({event}) => event.type === 'settle');
	expect(settleTransitions.length).toBeGreaterThan(20);
	for (const {before, event, after} of settleTransitions) {
		const index = event.type === 'settle' ? event.operator : 0;
		expect(getPublishStepKind(before, before.operators[index]!)).toBe(stepByPhase[after.operators[index]!.phase]);
	}
});

const getFollowerState = ({version, confirmedAt}: Host): FollowerState => {
	const state: FollowerState = {refused: 0};
	if (version > 0) {
		state.current = createVersion(version, `token-${version}`);
	}

	if (confirmedAt > 0) {
		state.confirmedAt = confirmedAt;
	}

	return state;
};

const applyAnswer = (host: Host): FollowerState => {
	const {version, confirmedAt} = host.pendingAnswer!;
	const newest = createVersion(version, `token-${version}`);
	const time = confirmedAt === 0 ? undefined : confirmedAt;
	const isStarting = host.version === 0;
	const reading = chooseReading([{kind: 'answered', answer: {newest}, confirmedAt: time}], isStarting ? host.announcedVersion : 0);
	return reading === undefined ? getFollowerState(host) : applyVersion(getFollowerState(host), newest, time);
};

const applyEvent = (host: Host, event: DistributionEvent): FollowerState | undefined => {
	if (event.type === 'read-service') {
		return applyVersion(getFollowerState(host), createVersion(event.version, `token-${event.version}`), event.askedAt);
	}

	if (event.type === 'receive-stale') {
		return applyVersion(getFollowerState(host), createVersion(event.version, `token-${event.version}`));
	}

	return event.type === 'receive-answer' ? applyAnswer(host) : undefined;
};

test('applyVersion and chooseReading apply versions as the specification does in every reachable state', () => {
	let checked = 0;
	for (const {before, event, after} of getTransitions(hostFaultBounds)) {
		const index = 'host' in event ? event.host : 0;
		const found = applyEvent(before.hosts[index]!, event);
		if (found !== undefined) {
			const {version, confirmedAt} = after.hosts[index]!;
			expect({version: found.current?.version ?? 0, confirmedAt: found.confirmedAt ?? 0}).toEqual({version, confirmedAt});
			checked++;
		}
	}

	expect(checked).toBeGreaterThan(1000);
});

test('each fault breaks the invariant that has to catch it', () => {
	const faults = configurationChecks.filter(({caughtBy}) => caughtBy !== undefined);
	const found = faults.map(check => check.explore().violations.some(({invariant}) => invariant === check.caughtBy));
	expect(found).toEqual(faults.map(() => true));
});

test('the specification holds within small bounds', () => {
	expect(explore(createDistributionSpecification(operatorFaultBounds)).violations).toEqual([]);
	expect(explore(createDistributionSpecification(hostFaultBounds)).violations).toEqual([]);
});
