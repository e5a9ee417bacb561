import {z} from 'zod';
import {askAnyHost} from '../ask.js';
import {exitCodes} from '../exit-codes.js';
import {readHostStatuses} from '../host-status.js';
import {createFailed, createOk, type Result} from '../result.js';
import {missingOperators, type Session} from '../session.js';
import {formatTable} from '../table.js';

/** Shows what each host says of itself. */
export const showStatus = async (session: Session): Promise<Result> => {
	if (session.operators.length === 0) {
		return createFailed(exitCodes.usage, missingOperators);
	}

	const statuses = await readHostStatuses(session);
	const reached = statuses.filter(({version}) => version !== undefined).length;
	const result = createOk(formatTable(statuses, ['host', 'zone', 'state', 'ready', 'version', 'confirmed', 'waiting', 'running', 'lag']), statuses);
	if (reached === 0) {
		return {...result, exitCode: exitCodes.unavailable};
	}

	return reached < statuses.length ? {...result, exitCode: exitCodes.failed} : result;
};

const row = z.record(z.string(), z.unknown());

const showList = async (session: Session, field: 'hosts' | 'upstreams', columns: string[]): Promise<Result> => {
	const asked = await askAnyHost(session, {method: 'GET', path: `/operator/${field}`});
	if (asked.kind === 'failed') {
		return asked.result;
	}

	const parsed = z.record(z.string(), z.array(row)).safeParse(asked.body);
	const rows = parsed.success ? parsed.data[field] : undefined;
	if (rows === undefined) {
		return createFailed(exitCodes.failed, `${asked.target.host} answered without a list of ${field}.`);
	}

	return createOk([`As ${asked.target.host} sees them:`, ...formatTable(rows, columns)], rows);
};

/** Lists the hosts as one of them sees them. */
export const showHosts = async (session: Session): Promise<Result> =>
	showList(session, 'hosts', ['host', 'zone', 'state', 'incarnation', 'callerAddress', 'configurationVersion', 'load']);

/** Lists the upstreams as one of the hosts sees them. */
export const showUpstreams = async (session: Session): Promise<Result> =>
	showList(session, 'upstreams', ['id', 'zone', 'group', 'owner', 'standing', 'running', 'waiting']);

/** Shows the account of a request. */
export const showRequest = async (session: Session, id: string): Promise<Result> => {
	const asked = await askAnyHost(session, {method: 'GET', path: `/operator/requests/${encodeURIComponent(id)}`});
	return asked.kind === 'failed' ? asked.result : createOk([JSON.stringify(asked.body, undefined, '\t')], asked.body);
};
