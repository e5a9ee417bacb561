import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';

/** Connections of which the last answer was written. Each is read, and its bytes are discarded, until its caller closes it or for a time: a close with unread bytes, or before bytes that still come, resets a connection, and its caller loses what it hasn't received of its answers. */
export type ClosingConnections = {
	/** Ends a connection, and closes it when its caller has closed its side or after a time. Nothing that it has sent since is parsed. */
	end: (socket: Socket) => void;
	/** Returns the number of connections that their callers haven't closed. */
	count: () => number;
	/** Returns the number of these whose last answers may still be on their way, as they were ended less than `deliveryTime` ago. */
	countDelivering: () => number;
};

/** Dependencies of `createClosingConnections`. */
export type ClosingConnectionsOptions = {clock: Clock; metrics: Metrics};

/** Longest time for which a connection is read after its last answer was written. */
export const lingerTime: Milliseconds = 2000;
/** Time after the end of a connection in which its caller may still be receiving its last answer. */
export const deliveryTime: Milliseconds = 500;
/** Most connections that are read in this way; beyond it the one that was ended first is closed. Those that were given up over an unfinished head are limited before, with the other unfinished heads. */
export const maxClosingConnections = 1024;

const discard = (): void => undefined;

/** Reads a connection of an HTTP server without parsing what arrives on it. */
const discardIncoming = (socket: Socket): void => {
	socket.removeAllListeners('data');
	socket.on('data', discard);
	socket.resume();
};

/** Creates it without connections. */
export const createClosingConnections = ({clock, metrics}: ClosingConnectionsOptions): ClosingConnections => {
	/** Connections, in the order in which they were ended, and when. */
	const closing = new Map<Socket, Milliseconds>();

	const close = (socket: Socket, reason: 'not-closed' | 'too-many-closing'): void => {
		metrics.count('connections_given_up_total', {reason});
		socket.destroy();
	};

	const closeBeyondLimit = (): void => {
		const [first] = closing.keys();
		if (first !== undefined && closing.size > maxClosingConnections) {
			closing.delete(first);
			close(first, 'too-many-closing');
		}
	};

	return {
		end(socket) {
			if (closing.has(socket) || socket.destroyed) {
				return;
			}

			const cancelTimer = clock.after(lingerTime, () => {
				close(socket, 'not-closed');
			});
			closing.set(socket, clock.monotonic());
			socket.once('close', () => {
				cancelTimer();
				closing.delete(socket);
			});
			socket.end();
			discardIncoming(socket);
			closeBeyondLimit();
		},
		count: () => closing.size,
		countDelivering: () => [...closing.values()].filter(endedAt => clock.monotonic() - endedAt < deliveryTime).length,
	};
};
