import {callAnyHost, callHost} from '../call-host.js';
import {exitCodes} from '../exit-codes.js';
import {createFailure, createSuccess, type Result} from '../result.js';
import type {Session} from '../session.js';

const changeHost = async (session: Session, host: string, path: string, body: unknown): Promise<Result> => {
	const endpoint = session.operators.find(operator => operator.host === host);
	if (endpoint === undefined) {
		return createFailure(exitCodes.usage, `${host} is not among the hosts given: ${session.operators.map(operator => operator.host).join(', ')}.`);
	}

	const answer = await callHost(session, endpoint, {method: 'POST', path, body});
	return answer.kind === 'failed' ? answer.result : createSuccess([`${host}: ${path.split('/').at(-1)} accepted.`], {host, answer: answer.body});
};

/** Drains a host: it takes no new requests, and finishes those that it has unless `isForced`. */
export const drainHost = async (session: Session, host: string, isForced: boolean): Promise<Result> =>
	changeHost(session, host, '/operator/drain', {force: isForced});

/** Puts a drained host back in service. */
export const undrainHost = async (session: Session, host: string): Promise<Result> => changeHost(session, host, '/operator/undrain', {});

/** Drains an upstream or puts it back in service. Any host accepts the call and forwards it to the others. */
export const changeUpstream = async (session: Session, upstream: string, action: 'drain' | 'undrain'): Promise<Result> => {
	const path = `/operator/upstreams/${encodeURIComponent(upstream)}/${action}`;
	const answer = await callAnyHost(session, {method: 'POST', path, body: {}});
	return answer.kind === 'failed'
		? answer.result
		: createSuccess([`${upstream}: ${action} accepted by ${answer.endpoint.host}.`], {upstream, host: answer.endpoint.host});
};
