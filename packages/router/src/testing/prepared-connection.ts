import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {splitAddress, type Address} from '@gentianlift/types';

/** What a caller got for a request. */
export type CallerResult
	= | {kind: 'answered'; status: number; ran: string; errorKind: string; connection: string; body: string}
	/** The connection ended without a whole answer. */
		| {kind: 'cut'; reason: string}
	/** The connection had been closed before the request was sent. */
		| {kind: 'closed'};

/** Request of a caller. */
export type CallerRequest = {method: string; path: string; headers: Record<string, string>; body?: string};

/** Connection of a caller that is opened before it is used, and kept after each answer. */
export type PreparedConnection = {
	send: (sent: CallerRequest) => Promise<CallerResult>;
	close: () => void;
};

const getHeader = (response: IncomingMessage, name: string): string => String(response.headers[name] ?? '');

const readResult = async (response: IncomingMessage): Promise<CallerResult> => {
	const body = await text(response);
	return {
		kind: 'answered',
		status: response.statusCode ?? 0,
		ran: getHeader(response, 'x-ran'),
		errorKind: getHeader(response, 'x-error-kind'),
		connection: getHeader(response, 'connection'),
		body,
	};
};

const getReason = (error: unknown): string => {
	const {code, message} = error as NodeJS.ErrnoException;
	return code ?? message;
};

const exchange = async (socket: Socket, agent: Agent, {body, ...options}: CallerRequest): Promise<CallerResult> => {
	if (socket.destroyed) {
		return {kind: 'closed'};
	}

	try {
		const call = request({...options, agent});
		call.end(body);
		const [response] = await once(call, 'response') as [IncomingMessage];
		return await readResult(response);
	} catch (error) {
		return {kind: 'cut', reason: getReason(error)};
	}
};

/** Opens a connection to a host. */
export const openPreparedConnection = async (address: Address): Promise<PreparedConnection> => {
	const socket = connect(splitAddress(address));
	// An error while the connection is idle is seen by the next request.
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	const agent = Object.assign(new Agent({keepAlive: true, maxSockets: 1}), {createConnection: () => socket});
	return {
		send: async sent => exchange(socket, agent, sent),
		close() {
			agent.destroy();
			socket.destroy();
		},
	};
};
