import type {
	Host, SpreadBounds, SpreadEvent, SpreadFault, SpreadState,
} from './state.js';

const getHost = (state: SpreadState, index: number): Host => state.hosts[index]!;

const change = (state: SpreadState, index: number, changes: Partial<Host>): SpreadState =>
	({...state, hosts: state.hosts.map((host, place) => place === index ? {...host, ...changes} : host)});

const getRange = (from: number, to: number): number[] => Array.from({length: Math.max(0, to - from + 1)}, (_, index) => from + index);

const getServiceReads = (state: SpreadState, index: number, {hasConfirmations}: SpreadBounds): SpreadEvent[] => {
	const newest = state.accepted.length;
	const moments = hasConfirmations ? getRange(1, newest) : [1];
	return moments.flatMap(askedAt => getRange(askedAt, newest).map(version => ({
		type: 'read-service', host: index, version, askedAt,
	} satisfies SpreadEvent)));
};

const getPeerEvents = (state: SpreadState, index: number): SpreadEvent[] => {
	const host = getHost(state, index);
	const events: SpreadEvent[] = [];
	const peers = state.hosts.filter((peer, place) => place !== index && peer.version > 0);
	if (peers.length > 0) {
		events.push({type: 'ask-peer', host: index});
	}

	if (host.answer !== undefined) {
		events.push({type: 'receive-answer', host: index});
	}

	const newest = state.accepted.length;
	if (host.version > 0) {
		events.push(...getRange(1, newest).map(version => ({type: 'receive-stale', host: index, version} satisfies SpreadEvent)));
	} else {
		events.push(...getRange(host.heard + 1, newest).map(version => ({type: 'hear', host: index, version} satisfies SpreadEvent)));
	}

	return events;
};

/** Gets the events of all hosts. An answer of the service may be of any moment since the host asked. */
export const getHostEvents = (state: SpreadState, bounds: SpreadBounds): SpreadEvent[] => state.hosts.flatMap((_, index) => [
	...state.service.isDown ? [] : getServiceReads(state, index, bounds),
	...getPeerEvents(state, index),
	...state.crashes > 0 ? [{type: 'crash', host: index} satisfies SpreadEvent] : [],
]);

/** Puts a version in force if it is higher; a confirmation counts for the version that it names. */
const takeVersion = (host: Host, version: number, confirmedAt: number, fault?: SpreadFault): Partial<Host> => {
	const isTaken = version > host.version || (fault === 'takes-any-version' && version !== host.version);
	if (isTaken) {
		return {
			version, confirmedAt, ...(version < host.version && {fault: 'went-back'}),
		};
	}

	return version === host.version ? {confirmedAt: Math.max(host.confirmedAt, confirmedAt)} : {};
};

const applyRead = (state: SpreadState, event: Extract<SpreadEvent, {type: 'read-service'}>, bounds: SpreadBounds, fault?: SpreadFault): SpreadState => {
	const moment = fault === 'confirms-at-receipt' ? state.accepted.length : event.askedAt;
	return change(state, event.host, takeVersion(getHost(state, event.host), event.version, bounds.hasConfirmations ? moment : 0, fault));
};

const applyAnswer = (state: SpreadState, index: number, fault?: SpreadFault): SpreadState => {
	const host = getHost(state, index);
	const {version, confirmedAt} = host.answer!;
	const isStarting = host.version === 0;
	if (isStarting && version < host.heard && fault !== 'starts-from-any-answer') {
		return state;
	}

	const taken = takeVersion(host, version, confirmedAt, fault);
	return change(state, index, isStarting && version < host.heard ? {...taken, fault: 'started-below'} : taken);
};

const applyAsk = (state: SpreadState, index: number, {hasConfirmations}: SpreadBounds, fault?: SpreadFault): SpreadState => {
	const peer = state.hosts.find(({version}, place) => place !== index && version > 0);
	if (peer === undefined) {
		return state;
	}

	const asked = change(state, index, {answer: {version: peer.version, confirmedAt: peer.confirmedAt}});
	return hasConfirmations ? asked : change(applyAnswer(asked, index, fault), index, {answer: undefined});
};

const applyCrash = (state: SpreadState, index: number): SpreadState => {
	const host: Host = {version: 0, confirmedAt: 0, heard: 0};
	return {...state, crashes: state.crashes - 1, hosts: state.hosts.map((old, place) => place === index ? host : old)};
};

type HostEvent = Extract<SpreadEvent, {host: number}>;

/** Applies an event of a host. */
export const applyHostEvent = (state: SpreadState, event: HostEvent, bounds: SpreadBounds, fault?: SpreadFault): SpreadState => {
	switch (event.type) {
		case 'crash': {
			return applyCrash(state, event.host);
		}

		case 'hear': {
			return change(state, event.host, {heard: event.version});
		}

		case 'read-service': {
			return applyRead(state, event, bounds, fault);
		}

		case 'ask-peer': {
			return applyAsk(state, event.host, bounds, fault);
		}

		case 'receive-answer': {
			return applyAnswer(state, event.host, fault);
		}

		case 'receive-stale': {
			return change(state, event.host, takeVersion(getHost(state, event.host), event.version, 0, fault));
		}
	}
};

const getTidyHost = ({answer, ...host}: Host): Host => {
	const isUseless = answer === undefined || answer.version < host.version
		|| (answer.version === host.version && answer.confirmedAt <= host.confirmedAt);
	const tidy = host.version > 0 ? {...host, heard: 0} : host;
	return isUseless ? tidy : {...tidy, answer};
};

/** Drops what can no longer change a host: answers that say nothing new, and what it was told before it started. */
export const dropOldNews = (state: SpreadState): SpreadState => ({...state, hosts: state.hosts.map(host => getTidyHost(host))});
