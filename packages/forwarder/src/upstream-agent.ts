import {
	Agent, type AgentOptions, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Milliseconds} from '@gentianlift/types';

/** Idle times after which a connection isn't used again, unless the upstream names a shorter one. */
export const idleTimeouts = {
	normal: 8000,
	/** For requests that can't be sent again: an upstream may have forgotten a connection that rested for longer. */
	short: 150,
} as const;
/** Time before the upstream's own limit at which an idle connection is closed, so that no request crosses its close. */
const idleCloseMargin: Milliseconds = 1000;
const keepAliveTimeoutPattern = /timeout=(?<seconds>\d+)/v;

/** The answer under way on a connection; undefined while a request waits for one. */
type ConnectionState = {
	message: IncomingMessage | undefined;
	isIdle: boolean;
	idleTimer: NodeJS.Timeout | undefined;
	/** Whether the connection was found to be reset when it ended. */
	isReset: boolean;
};

const getIdleTimeout = (message: IncomingMessage | undefined, maxTimeout: Milliseconds): Milliseconds => {
	const header = message?.headers['keep-alive'];
	const seconds = typeof header === 'string' ? keepAliveTimeoutPattern.exec(header)?.groups?.seconds : undefined;
	return seconds === undefined ? maxTimeout : Math.min(maxTimeout, (Number(seconds) * 1000) - idleCloseMargin);
};

/**
 * Connections to one upstream. A connection that delivers bytes that no request waits for is closed:
 * what follows on it could be taken for the answer to another request.
 */
export class UpstreamAgent extends Agent {
	readonly #progress = new WeakMap<Duplex, ConnectionState>();

	readonly #idleLimit: Milliseconds;

	constructor({idleLimit = idleTimeouts.normal, ...options}: AgentOptions & {idleLimit?: Milliseconds} = {}) {
		super({
			keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64, ...options,
		});
		this.#idleLimit = idleLimit;
	}

	/** Closes the connections that rest; those in use are closed after their answers. */
	retire(): void {
		this.maxFreeSockets = 0;
		for (const socket of Object.values(this.freeSockets).flat()) {
			socket?.destroy();
		}
	}

	/** Tells which answer came on the request's connection, so that bytes after its end are found. */
	recordAnswer(socket: Socket, message: IncomingMessage): void {
		const progress = this.#progress.get(socket);
		if (progress !== undefined) {
			progress.message = message;
		}
	}

	/** Tells whether a connection that has ended was reset. */
	wasReset(socket: Socket): boolean {
		return this.#progress.get(socket)?.isReset ?? false;
	}

	override createConnection(options: NetConnectOpts): Socket {
		const socket = connect({...options, noDelay: true, allowHalfOpen: true});
		const progress: ConnectionState = {
			message: undefined, isIdle: false, idleTimer: undefined, isReset: false,
		};
		this.#progress.set(socket, progress);
		socket.on('data', () => {
			if (progress.isIdle || progress.message?.complete === true) {
				socket.destroy();
			}
		});
		socket.once('end', () => {
			// A reset that comes together with data looks like an orderly end, but leaves the socket without a peer.
			progress.isReset = socket.remoteAddress === undefined;
			if (progress.isIdle) {
				socket.destroy();
			}
		});
		socket.once('close', () => {
			clearTimeout(progress.idleTimer);
		});
		return socket;
	}

	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node reads the value, as its pages say.
	override keepSocketAlive(socket: Duplex): boolean {
		const progress = this.#progress.get(socket);
		const limit = getIdleTimeout(progress?.message, this.#idleLimit);
		if (progress === undefined || limit <= 0 || socket.destroyed) {
			return false;
		}

		progress.isIdle = true;
		progress.idleTimer = setTimeout(() => {
			socket.destroy();
		}, limit);
		progress.idleTimer.unref();
		// Bytes that come while the connection is idle are to be seen at once.
		socket.resume();
		return true;
	}

	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		const progress = this.#progress.get(socket);
		if (progress !== undefined) {
			clearTimeout(progress.idleTimer);
			progress.message = undefined;
			progress.isIdle = false;
		}

		super.reuseSocket(socket, request);
	}
}
