import {z} from 'zod';
import {callAnyHost} from '../call-host.js';
import {exitCodes} from '../exit-codes.js';
import {readHostStatuses} from '../host-status.js';
import {createFailure, createSuccess, type Result} from '../result.js';
import {missingOperatorsMessage, type Session} from '../session.js';
import {formatTable} from '../table.js';

/** Shows the status that each host reports. */
export const showStatus = async (session: Session): Promise<Result> => {
	if (session.operators.length === 0) {
		return createFailure(exitCodes.usage, missingOperatorsMessage);
	}

	const statuses = await readHostStatuses(session);
	const reached = statuses.filter(({version}) => version !== undefined).length;
	const result = createSuccess(formatTable(statuses, ['host', 'zone', 'state', 'ready', 'version', 'confirmed', 'waiting', 'running', 'lag']), statuses);
	if (reached === 0) {
		return {...result, exitCode: exitCodes.unavailable};
	}

	return reached < statuses.length ? {...result, exitCode: exitCodes.failed} : result;
};

const rowSchema = z.record(z.string(), z.unknown());

const showList = async (session: Session, field: 'hosts' | 'upstreams', columns: string[]): Promise<Result> => {
	const answer = await callAnyHost(session, {method: 'GET', path: `/operator/${field}`});
	if (answer.kind === 'failed') {
		return answer.result;
	}

	const parsed = z.record(z.string(), z.array(rowSchema)).safeParse(answer.body);
	const rows = parsed.success ? parsed.data[field] : undefined;
	if (rows === undefined) {
		return createFailure(exitCodes.failed, `${answer.endpoint.host} answered without a list of ${field}.`);
	}

	return createSuccess([`As ${answer.endpoint.host} sees them:`, ...formatTable(rows, columns)], rows);
};

/** Lists the hosts in the view of the first host that answers. */
export const showHosts = async (session: Session): Promise<Result> =>
	showList(session, 'hosts', ['host', 'zone', 'state', 'incarnation', 'callerAddress', 'configurationVersion', 'load']);

/** Lists the upstreams in the view of the first host that answers. */
export const showUpstreams = async (session: Session): Promise<Result> =>
	showList(session, 'upstreams', ['id', 'zone', 'group', 'owner', 'standing', 'running', 'waiting']);

/** Shows the record of a request that a host keeps. */
export const showRequest = async (session: Session, id: string): Promise<Result> => {
	const answer = await callAnyHost(session, {method: 'GET', path: `/operator/requests/${encodeURIComponent(id)}`});
	return answer.kind === 'failed' ? answer.result : createSuccess([JSON.stringify(answer.body, undefined, '\t')], answer.body);
};
