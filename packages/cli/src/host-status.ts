import {z} from 'zod';
import type {Session} from './session.js';
import type {OperatorEndpoint} from './endpoints.js';

/** Status that a host reports; only `host` and `state` are set if the host gave none. */
export type HostStatus = {
	host: string;
	zone?: string;
	state: string;
	ready?: boolean;
	version?: number;
	confirmed?: boolean;
	waiting?: number;
	running?: number;
	/** Event loop lag in milliseconds. */
	lag?: number;
};

const statusSchema = z.looseObject({
	host: z.string(),
	zone: z.string(),
	state: z.string(),
	ready: z.boolean(),
	configurationVersion: z.number(),
	configurationConfirmed: z.boolean(),
	requests: z.looseObject({waiting: z.number(), running: z.number()}),
	eventLoopLag: z.number(),
});

/** Reads the status of a host from its operator listener. */
export const readHostStatus = async ({call}: Session, endpoint: OperatorEndpoint): Promise<HostStatus> => {
	const outcome = await call(endpoint, {method: 'GET', path: '/operator/status'});
	if (outcome.kind !== 'answered') {
		return {host: endpoint.host, state: outcome.kind};
	}

	const parsed = statusSchema.safeParse(outcome.body);
	if (!parsed.success) {
		return {host: endpoint.host, state: `answered ${outcome.status} without a status`};
	}

	const {host, zone, state, ready, configurationVersion, configurationConfirmed, requests, eventLoopLag} = parsed.data;
	return {
		host, zone, state, ready, version: configurationVersion, confirmed: configurationConfirmed, ...requests, lag: Math.round(eventLoopLag),
	};
};

/** Reads the status of every host. */
export const readHostStatuses = async (session: Session): Promise<HostStatus[]> =>
	Promise.all(session.operators.map(async endpoint => readHostStatus(session, endpoint)));
