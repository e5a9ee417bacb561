import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
Returns a function that tells whether the connection of a request was reset, of which Node tells the reader of a body without length or chunks nothing.

A reset that arrives together with data is reported as an orderly end, but leaves the socket without a remote address.
*/
export const watchReset = (request: ClientRequest): (() => boolean) => {
	let isReset = false;
	request.once('socket', (socket: Socket) => {
		const onEnd = (): void => {
			isReset ||= socket.remoteAddress === undefined;
		};

		// Node's own listener destroys the connection.
		socket.prependOnceListener('end', onEnd);
		request.once('close', () => {
			socket.off('end', onEnd);
		});
	});
	request.on('error', () => {
		isReset = true;
	});
	return () => isReset;
};
