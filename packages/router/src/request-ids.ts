import type {HostId, Incarnation, RequestId} from '@gentianlift/types';

/** Creates the generator of a host's request ids, `<host>.<incarnation>.<sequence>`. */
export const createRequestIds = (host: HostId, incarnation: Incarnation): (() => RequestId) => {
	let sequence = 0;
	return () => {
		sequence++;
		return `${host}.${incarnation}.${sequence}`;
	};
};

/** Host and incarnation that issued a request id. */
export type RequestOrigin = {host: HostId; incarnation: Incarnation};

const idPattern = /^(?<host>.+?)\.(?<incarnation>\d+)\.\d+(?:\.[tu][\d\-]+)?$/v;

/** Returns the host and incarnation that issued a request id; undefined if the text isn't a request id. */
export const getRequestOrigin = (id: string): RequestOrigin | undefined => {
	const groups = idPattern.exec(id)?.groups;
	return groups?.host === undefined ? undefined : {host: groups.host, incarnation: Number(groups.incarnation)};
};
