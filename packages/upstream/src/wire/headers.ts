import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Headers that concern one connection only and aren't passed on. */
export const hopByHopHeaders = [
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
] as const;

const fixedNames = new Set<string>(hopByHopHeaders);

const getConnectionNames = (headers: IncomingHttpHeaders): Set<string> => {
	const names = (headers.connection ?? '').split(',');
	return new Set(names.map(name => name.trim().toLowerCase()));
};

/** Gets the headers without those of the connection, including any that `Connection` names. */
export const getEndToEndHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
	const named = getConnectionNames(headers);
	const kept = Object.entries(headers).filter(([name]) => !fixedNames.has(name) && !named.has(name));
	return Object.fromEntries(kept);
};
