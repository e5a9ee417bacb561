import {
	Agent, type AgentOptions, type IncomingMessage,
} from 'node:http';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Milliseconds} from '@gentianlift/types';

/** Idle timeouts of connections in milliseconds; the upstream may announce a shorter one. */
export const idleTimeouts = {
	normal: 8000,
	/** For requests of non-idempotent routes, which can't be retried once they may have executed: an upstream may have dropped a connection that was idle for longer. */
	short: 150,
} as const;
/** Time before the upstream's own idle timeout at which a connection is closed, so that no request is sent while the upstream closes it. */
const idleCloseMargin: Milliseconds = 1000;
/** Limit on the bytes up to the end of an answer's head, informational answers and blank lines included. One read may bring 64 KB of the body with it. */
const maxHeadBytes = 128 * 1024;
const keepAliveTimeoutPattern = /timeout=(?<seconds>\d+)/v;

/** State of a connection. */
type ConnectionState = {
	/** The answer being received; undefined while a request waits for one. */
	message: IncomingMessage | undefined;
	isIdle: boolean;
	/** When the connection was opened, and when bytes last arrived on it, by `performance.now`. */
	openedAt: Milliseconds;
	readAt: Milliseconds;
	idleTimer: NodeJS.Timeout | undefined;
	/** Bytes received since the request was sent, up to those with the end of the answer's head. */
	headBytes: number;
	/** Whether an answer on it has named the request that it answers. */
	hasNamedRequests: boolean;
};

const getIdleTimeout = (message: IncomingMessage | undefined, maxTimeout: Milliseconds): Milliseconds => {
	const header = message?.headers['keep-alive'];
	const seconds = typeof header === 'string' ? keepAliveTimeoutPattern.exec(header)?.groups?.seconds : undefined;
	return seconds === undefined ? maxTimeout : Math.min(maxTimeout, (Number(seconds) * 1000) - idleCloseMargin);
};

/**
 * Connection pool of one upstream. A connection that delivers bytes that no request waits for is closed:
 * they could be taken for the answer to the next request.
 */
export class UpstreamAgent extends Agent {
	readonly #states = new WeakMap<Duplex, ConnectionState>();

	/** States of the connections that aren't closed. */
	readonly #open = new Set<ConnectionState>();

	readonly #idleTimeout: Milliseconds;

	constructor({idleTimeout = idleTimeouts.normal, ...options}: AgentOptions & {idleTimeout?: Milliseconds} = {}) {
		super({
			keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64, ...options,
		});
		this.#idleTimeout = idleTimeout;
		// Each waiting request listens for `retire`.
		this.setMaxListeners(0);
	}

	/** Closes idle connections now, and those in use after their answers; emits `retire`, as requests that wait for a connection should wait no longer. */
	retire(): void {
		this.maxFreeSockets = 0;
		this.emit('retire');
		this.closeIdle();
	}

	/** Closes idle connections now. */
	closeIdle(): void {
		for (const socket of Object.values(this.freeSockets).flat()) {
			socket?.destroy();
		}
	}

	/** Records that a request uses a connection from now on; called for each one, as a request that waited for a connection takes it over without `reuseSocket`. */
	beginRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			clearTimeout(state.idleTimer);
			state.message = undefined;
			state.headBytes = 0;
			state.isIdle = false;
		}
	}

	/** Records which answer is received on a connection, so that bytes after its end are detected. */
	recordAnswer(socket: Socket, message: IncomingMessage): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			state.message = message;
		}
	}

	/** Records that an answer on a connection has named its request. */
	recordNamedRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			state.hasNamedRequests = true;
		}
	}

	/** Whether an answer on a connection has named its request, so that others do, too. */
	hasNamedRequests(socket: Socket): boolean {
		return this.#states.get(socket)?.hasNamedRequests ?? false;
	}

	/** Returns for how long the process at the other end of a connection has run at least: since that was opened, or an older one on which bytes have arrived since then. */
	getProcessAge(socket: Socket): Milliseconds {
		const openedAt = this.#states.get(socket)?.openedAt ?? performance.now();
		const witnesses = [...this.#open].filter(({readAt}) => readAt >= openedAt);
		return performance.now() - Math.min(openedAt, ...witnesses.map(witness => witness.openedAt));
	}

	override createConnection(options: NetConnectOpts): Socket {
		const socket = connect({...options, noDelay: true, allowHalfOpen: true});
		const state: ConnectionState = {
			message: undefined, isIdle: false, openedAt: performance.now(), readAt: Number.NEGATIVE_INFINITY, idleTimer: undefined, headBytes: 0, hasNamedRequests: false,
		};
		this.#states.set(socket, state);
		this.#open.add(state);
		const closeIfUnused = (): void => {
			if (state.isIdle || state.message?.complete === true) {
				socket.destroy();
			}
		};

		socket.on('data', (chunk: Uint8Array) => {
			closeIfUnused();
			state.readAt = performance.now();
			state.headBytes += state.message === undefined ? chunk.length : 0;
			if (state.headBytes > maxHeadBytes) {
				socket.destroy(new Error('head-too-long'));
			}
		});
		socket.once('end', closeIfUnused);
		socket.once('close', () => {
			clearTimeout(state.idleTimer);
			this.#open.delete(state);
		});
		return socket;
	}

	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node uses the returned value, as documented.
	override keepSocketAlive(socket: Duplex): boolean {
		const state = this.#states.get(socket);
		const timeout = getIdleTimeout(state?.message, this.#idleTimeout);
		if (state === undefined || timeout <= 0 || socket.destroyed) {
			return false;
		}

		state.isIdle = true;
		state.idleTimer = setTimeout(() => {
			socket.destroy();
		}, timeout);
		state.idleTimer.unref();
		// An idle connection is read, so that unexpected bytes are detected at once.
		socket.resume();
		return true;
	}
}
