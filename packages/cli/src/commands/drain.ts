import {askAnyHost, askHost} from '../ask.js';
import {exitCodes} from '../exit-codes.js';
import {createFailed, createOk, type Result} from '../result.js';
import type {Session} from '../session.js';

const changeHost = async (session: Session, host: string, path: string, body: unknown): Promise<Result> => {
	const target = session.operators.find(operator => operator.host === host);
	if (target === undefined) {
		return createFailed(exitCodes.usage, `${host} is not among the hosts given: ${session.operators.map(operator => operator.host).join(', ')}.`);
	}

	const asked = await askHost(session, target, {method: 'POST', path, body});
	return asked.kind === 'failed' ? asked.result : createOk([`${host}: ${path.split('/').at(-1)} accepted.`], {host, answer: asked.body});
};

/** Takes a host out of service; its requests are finished unless forced. */
export const drainHost = async (session: Session, host: string, isForced: boolean): Promise<Result> =>
	changeHost(session, host, '/operator/drain', {force: isForced});

/** Puts a host back in service. */
export const undrainHost = async (session: Session, host: string): Promise<Result> => changeHost(session, host, '/operator/undrain', {});

/** Takes an upstream out of service or puts it back; any host passes it on to the others. */
export const changeUpstream = async (session: Session, upstream: string, action: 'drain' | 'undrain'): Promise<Result> => {
	const path = `/operator/upstreams/${encodeURIComponent(upstream)}/${action}`;
	const asked = await askAnyHost(session, {method: 'POST', path, body: {}});
	return asked.kind === 'failed'
		? asked.result
		: createOk([`${upstream}: ${action} accepted by ${asked.target.host}.`], {upstream, host: asked.target.host});
};
