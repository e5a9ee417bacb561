import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';

/** Dependencies of `limitUnfinishedHeads`. */
export type UnfinishedHeadsOptions = {clock: Clock; logger: Logger; metrics: Metrics};

/** Most connections of a server on which a part of a head has arrived; each part takes up to 1,000 fields in memory, several times its bytes. */
export const maxUnfinishedHeads = 256;
/** Interval at which these are counted while a server has more connections between requests. */
const countInterval: Milliseconds = 250;

/** Closes the connections of a server on which a part of a head has waited longest, while there are more than `maxUnfinishedHeads`. Connections that are idle aren't closed. */
export const limitUnfinishedHeads = (server: Server, {clock, logger, metrics}: UnfinishedHeadsOptions): void => {
	/** Bytes that each connection between requests had received when its last request was answered, in the order of these times. */
	const received = new Map<Socket, number>();
	let isScheduled = false;

	const closeOldest = (): void => {
		const unfinished = [...received].filter(([{bytesRead}, before]) => bytesRead > before);
		const closed = unfinished.slice(0, Math.max(0, unfinished.length - maxUnfinishedHeads));
		for (const [socket] of closed) {
			received.delete(socket);
			socket.destroy();
			metrics.count('connections_given_up_total', {reason: 'unfinished-head'});
		}

		if (closed.length > 0) {
			logger.warn('unfinished-heads-closed', {closed: closed.length, kept: maxUnfinishedHeads});
		}
	};

	const schedule = (): void => {
		if (isScheduled || received.size <= maxUnfinishedHeads) {
			return;
		}

		isScheduled = true;
		clock.after(countInterval, () => {
			isScheduled = false;
			closeOldest();
			schedule();
		});
	};

	const add = (socket: Socket): void => {
		received.set(socket, socket.bytesRead);
		schedule();
	};

	server.on('connection', (socket: Socket) => {
		add(socket);
		socket.once('close', () => {
			received.delete(socket);
		});
	});
	server.on('request', ({socket}, response) => {
		received.delete(socket);
		response.once('close', () => {
			if (socket.writable) {
				add(socket);
			}
		});
	});
};
