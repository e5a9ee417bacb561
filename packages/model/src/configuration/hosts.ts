import type {
	Host, DistributionBounds, DistributionEvent, DistributionFault, DistributionState,
} from './state.js';

const getHost = (state: DistributionState, index: number): Host => state.hosts[index]!;

const updateHost = (state: DistributionState, index: number, changes: Partial<Host>): DistributionState =>
	({...state, hosts: state.hosts.map((host, position) => position === index ? {...host, ...changes} : host)});

const getRange = (from: number, to: number): number[] => Array.from({length: Math.max(0, to - from + 1)}, (_, index) => from + index);

const getServiceReads = (state: DistributionState, index: number, {hasConfirmations}: DistributionBounds): DistributionEvent[] => {
	const newestVersion = state.accepted.length;
	const times = hasConfirmations ? getRange(1, newestVersion) : [1];
	return times.flatMap(askedAt => getRange(askedAt, newestVersion).map(version => ({
		type: 'read-service', host: index, version, askedAt,
	} satisfies DistributionEvent)));
};

const getPeerEvents = (state: DistributionState, index: number): DistributionEvent[] => {
	const host = getHost(state, index);
	const events: DistributionEvent[] = [];
	const peers = state.hosts.filter((peer, position) => position !== index && peer.version > 0);
	if (peers.length > 0) {
		events.push({type: 'ask-peer', host: index});
	}

	if (host.pendingAnswer !== undefined) {
		events.push({type: 'receive-answer', host: index});
	}

	const newestVersion = state.accepted.length;
	if (host.version > 0) {
		events.push(...getRange(1, newestVersion).map(version => ({type: 'receive-stale', host: index, version} satisfies DistributionEvent)));
	} else {
		events.push(...getRange(host.announcedVersion + 1, newestVersion).map(version => ({type: 'hear', host: index, version} satisfies DistributionEvent)));
	}

	return events;
};

/** Returns the events of all hosts that may happen in a state. A read of the service may return the state of any time since it was sent. */
export const getHostEvents = (state: DistributionState, bounds: DistributionBounds): DistributionEvent[] => state.hosts.flatMap((_, index) => [
	...state.service.isDown ? [] : getServiceReads(state, index, bounds),
	...getPeerEvents(state, index),
	...state.remainingCrashes > 0 ? [{type: 'crash', host: index} satisfies DistributionEvent] : [],
]);

/** Puts a version in force if it is higher. A confirmation counts only for the version that it came with. */
const applyVersion = (host: Host, version: number, confirmedAt: number, fault?: DistributionFault): Partial<Host> => {
	const isApplied = version > host.version || (fault === 'takes-any-version' && version !== host.version);
	if (isApplied) {
		return {
			version, confirmedAt, ...(version < host.version && {violation: 'went-back'}),
		};
	}

	return version === host.version ? {confirmedAt: Math.max(host.confirmedAt, confirmedAt)} : {};
};

const applyRead = (state: DistributionState, event: Extract<DistributionEvent, {type: 'read-service'}>, bounds: DistributionBounds, fault?: DistributionFault): DistributionState => {
	const time = fault === 'confirms-at-receipt' ? state.accepted.length : event.askedAt;
	return updateHost(state, event.host, applyVersion(getHost(state, event.host), event.version, bounds.hasConfirmations ? time : 0, fault));
};

const applyAnswer = (state: DistributionState, index: number, fault?: DistributionFault): DistributionState => {
	const host = getHost(state, index);
	const {version, confirmedAt} = host.pendingAnswer!;
	const isStarting = host.version === 0;
	if (isStarting && version < host.announcedVersion && fault !== 'starts-from-any-answer') {
		return state;
	}

	const update = applyVersion(host, version, confirmedAt, fault);
	return updateHost(state, index, isStarting && version < host.announcedVersion ? {...update, violation: 'started-below'} : update);
};

const applyPeerRequest = (state: DistributionState, index: number, {hasConfirmations}: DistributionBounds, fault?: DistributionFault): DistributionState => {
	const peer = state.hosts.find(({version}, position) => position !== index && version > 0);
	if (peer === undefined) {
		return state;
	}

	const answered = updateHost(state, index, {pendingAnswer: {version: peer.version, confirmedAt: peer.confirmedAt}});
	return hasConfirmations ? answered : updateHost(applyAnswer(answered, index, fault), index, {pendingAnswer: undefined});
};

const applyCrash = (state: DistributionState, index: number): DistributionState => {
	const restarted: Host = {version: 0, confirmedAt: 0, announcedVersion: 0};
	return {...state, remainingCrashes: state.remainingCrashes - 1, hosts: state.hosts.map((host, position) => position === index ? restarted : host)};
};

type HostEvent = Extract<DistributionEvent, {host: number}>;

/** Applies an event of a host. */
export const applyHostEvent = (state: DistributionState, event: HostEvent, bounds: DistributionBounds, fault?: DistributionFault): DistributionState => {
	switch (event.type) {
		case 'crash': {
			return applyCrash(state, event.host);
		}

		case 'hear': {
			return updateHost(state, event.host, {announcedVersion: event.version});
		}

		case 'read-service': {
			return applyRead(state, event, bounds, fault);
		}

		case 'ask-peer': {
			return applyPeerRequest(state, event.host, bounds, fault);
		}

		case 'receive-answer': {
			return applyAnswer(state, event.host, fault);
		}

		case 'receive-stale': {
			return updateHost(state, event.host, applyVersion(getHost(state, event.host), event.version, 0, fault));
		}
	}
};

const normaliseHost = ({pendingAnswer, ...host}: Host): Host => {
	const isObsolete = pendingAnswer === undefined || pendingAnswer.version < host.version
		|| (pendingAnswer.version === host.version && pendingAnswer.confirmedAt <= host.confirmedAt);
	const normalised = host.version > 0 ? {...host, announcedVersion: 0} : host;
	return isObsolete ? normalised : {...normalised, pendingAnswer};
};

/** Drops state that can no longer change a host: answers that add nothing new, and the version announced to it before it started. */
export const dropObsoleteHostState = (state: DistributionState): DistributionState => ({...state, hosts: state.hosts.map(host => normaliseHost(host))});
