import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** How a link treats the bytes on it. */
export type LinkState
	= | {kind: 'open'}
		| {kind: 'delayed'; delay: Milliseconds}
		/** Open and new connections are reset. */
		| {kind: 'reset'}
		/** Bytes are dropped in both directions; a direction that has dropped bytes forwards nothing more, even once the link is open again. */
		| {kind: 'silent'}
		/** Bytes towards the caller are dropped. */
		| {kind: 'one-way'};

/** A TCP proxy on loopback that injects network faults between two processes. */
export type Link = {
	/** Address to connect to instead of the target. */
	address: Address;
	setState: (state: LinkState) => void;
	/** Stops or resumes to listen, as the target does: without it a connection to a target that is gone would be established. */
	setListening: (isListening: boolean) => void;
	close: () => void;
};

/** State of one direction of a proxied connection. */
type Direction = {from: Socket; to: Socket; isTowardsCaller: boolean; hasLostBytes: boolean; queue: Promise<void>};

const isDropping = ({kind}: LinkState, isTowardsCaller: boolean): boolean =>
	kind === 'silent' || (kind === 'one-way' && isTowardsCaller);

/** Runs an action after the direction's earlier ones, so that a change of the delay doesn't reorder bytes. */
const enqueue = (direction: Direction, delay: Milliseconds, action: () => void): void => {
	const previous = direction.queue;
	direction.queue = (async () => {
		await (delay > 0 ? Promise.all([previous, sleep(delay)]) : previous);
		if (!direction.to.destroyed) {
			action();
		}
	})();
};

const forward = (direction: Direction, getState: () => LinkState): void => {
	const forwardUnlessDropping = (action: () => void): void => {
		const state = getState();
		direction.hasLostBytes ||= isDropping(state, direction.isTowardsCaller);
		if (!direction.hasLostBytes) {
			enqueue(direction, state.kind === 'delayed' ? state.delay : 0, action);
		}
	};

	direction.from.on('data', bytes => {
		forwardUnlessDropping(() => {
			direction.to.write(bytes);
		});
	});
	direction.from.on('end', () => {
		forwardUnlessDropping(() => {
			direction.to.end();
		});
	});
	direction.from.on('error', () => {
		forwardUnlessDropping(() => {
			direction.to.resetAndDestroy();
		});
	});
	direction.from.on('close', () => {
		forwardUnlessDropping(() => {
			direction.to.destroySoon();
		});
	});
};

/** Opens a link to the target, on a port of the given IP address; on a free one by default. */
export const openLink = async (ip: string, target: Address, ownPort = 0): Promise<Link> => {
	const {host, port} = splitAddress(target);
	const sockets = new Set<Socket>();
	let state: LinkState = {kind: 'open'};
	const add = (socket: Socket): void => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	};

	const server = createServer({allowHalfOpen: true, noDelay: true}, caller => {
		add(caller);
		if (state.kind === 'reset') {
			caller.resetAndDestroy();
			return;
		}

		const remote = connect({
			host, port, allowHalfOpen: true, noDelay: true,
		});
		add(remote);
		const getState = (): LinkState => state;
		forward({
			from: caller, to: remote, isTowardsCaller: false, hasLostBytes: false, queue: Promise.resolve(),
		}, getState);
		forward({
			from: remote, to: caller, isTowardsCaller: true, hasLostBytes: false, queue: Promise.resolve(),
		}, getState);
	});
	await new Promise<void>(resolve => {
		server.listen(ownPort, ip, resolve);
	});
	const {port: listeningPort} = server.address() as AddressInfo;
	return {
		address: `${ip}:${listeningPort}`,
		setState(next) {
			state = next;
			if (next.kind === 'reset') {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}
		},
		setListening(isListening) {
			if (isListening && !server.listening) {
				server.listen(listeningPort, ip);
			} else if (!isListening) {
				server.close();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
