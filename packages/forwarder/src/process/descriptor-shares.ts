/** Most connections of a host's servers, which leave descriptors for files and for connections to upstreams and other hosts. */
export type DescriptorShares = {
	/** Connections of callers. */
	callers: number;
	/** Connections of each endpoint. */
	endpoint: number;
};

/** Descriptors that files and the program itself take. */
const reservedDescriptors = 200;
/** Part of the rest that callers' connections may take; each request takes another one to its upstream. */
const callersPart = 1 / 2;
/** Part of the rest that the connections of one endpoint may take, and their number beyond which none needs more. */
const endpointPart = 1 / 16;
const maxEndpointConnections = 512;

/** Returns the shares of a process that may have so many open descriptors; at least one connection each. */
export const getDescriptorShares = (descriptors: number): DescriptorShares => {
	const rest = Math.max(0, descriptors - reservedDescriptors);
	return {
		callers: Math.max(1, Math.floor(rest * callersPart)),
		endpoint: Math.max(1, Math.min(maxEndpointConnections, Math.floor(rest * endpointPart))),
	};
};
