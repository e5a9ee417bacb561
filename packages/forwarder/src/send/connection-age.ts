import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Times on the monotonic clock at which connections were first used. */
const connectionTimes = new WeakMap<Socket, Milliseconds>();

/** Returns the time since a connection was first used; 0 at its first use, which this records. */
export const getConnectionAge = (socket: Socket, clock: Clock): Milliseconds => {
	const now = clock.monotonic();
	const connectedAt = connectionTimes.get(socket) ?? now;
	connectionTimes.set(socket, connectedAt);
	return now - connectedAt;
};
