import type {HostId, Incarnation, RequestId} from '@gentianlift/types';

/** Creates the source of request ids of a host: `<host>.<incarnation>.<sequence>`, in base 36. */
export const createRequestIds = (host: HostId, incarnation: Incarnation): (() => RequestId) => {
	let sequence = 0;
	const start = incarnation.toString(36);
	return () => {
		sequence++;
		return `${host}.${start}.${sequence.toString(36)}`;
	};
};

/** Gets the host and incarnation that gave a request its id; undefined if the text is no request id. */
export const getRequestOrigin = (id: string): {host: HostId; incarnation: Incarnation} | undefined => {
	const [sequence, start, ...host] = id.split('.').toReversed();
	const incarnation = Number.parseInt(start ?? '', 36);
	if (sequence === undefined || host.length === 0 || Number.isNaN(incarnation)) {
		return undefined;
	}

	return {host: host.toReversed().join('.'), incarnation};
};
