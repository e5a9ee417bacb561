import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

/** Requests of one turn of the event loop from which on the other connections are read in later turns. */
const maxRequestsPerLoop = 1000;
/** Connections that are read again in one turn. */
const resumedPerLoop = 4;

/**
 * Spreads requests that arrive at once over several turns of the event loop. One read of a connection delivers up to 64 KB,
 * which may be hundreds of requests sent ahead, and what they take in memory is freed at the end of a turn at the earliest,
 * even if their connection is closed at once.
 */
export const spreadReads = (server: Server): void => {
	const open = new Set<Socket>();
	/** Connections that are kept from being read, in the order in which they are read again. */
	const held = new Set<Socket>();
	let requests = 0;
	let isScheduled = false;

	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(endTurn);
		}
	};

	const resumeSome = (): void => {
		for (const socket of [...held].slice(0, resumedPerLoop)) {
			held.delete(socket);
			socket.resume();
		}

		if (held.size > 0) {
			schedule();
		}
	};

	const endTurn = (): void => {
		isScheduled = false;
		requests = 0;
		resumeSome();
	};

	/** Keeps the connections that may still deliver requests in this turn from doing so. */
	const holdOthers = (): void => {
		for (const socket of open) {
			if (!socket.isPaused()) {
				held.add(socket);
				socket.pause();
			}
		}
	};

	server.on('connection', (socket: Socket) => {
		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
			held.delete(socket);
		});
	});
	server.on('request', (_: IncomingMessage) => {
		requests += 1;
		schedule();
		if (requests % maxRequestsPerLoop === 0) {
			holdOthers();
		}
	});
};
