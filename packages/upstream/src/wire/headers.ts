import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Hop-by-hop headers, which apply to a single connection and aren't forwarded. */
export const hopByHopHeaders = [
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
] as const;

const hopByHopNames = new Set<string>(hopByHopHeaders);

const getConnectionNames = (headers: IncomingHttpHeaders): Set<string> => {
	const names = (headers.connection ?? '').split(',');
	return new Set(names.map(name => name.trim().toLowerCase()));
};

/** Returns the headers without the hop-by-hop headers and without those that the `Connection` header lists. */
export const getEndToEndHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
	const connectionNames = getConnectionNames(headers);
	const endToEnd = Object.entries(headers).filter(([name]) => !hopByHopNames.has(name) && !connectionNames.has(name));
	return Object.fromEntries(endToEnd);
};
