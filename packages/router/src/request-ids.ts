import type {HostId, Incarnation, RequestId} from '@gentianlift/types';

/** Creates the source of request ids of a host: `<host>.<incarnation>.<sequence>`. */
export const createRequestIds = (host: HostId, incarnation: Incarnation): (() => RequestId) => {
	let sequence = 0;
	return () => {
		sequence++;
		return `${host}.${incarnation}.${sequence}`;
	};
};

/** Where a request id was given out. */
export type RequestOrigin = {host: HostId; incarnation: Incarnation};

const idPattern = /^(?<host>.+?)\.(?<incarnation>\d+)\.\d+(?:\.[tu][\d\-]+)?$/v;

/** Gets the host and incarnation that gave a request its id; undefined if the text is no request id. */
export const getRequestOrigin = (id: string): RequestOrigin | undefined => {
	const groups = idPattern.exec(id)?.groups;
	return groups?.host === undefined ? undefined : {host: groups.host, incarnation: Number(groups.incarnation)};
};
