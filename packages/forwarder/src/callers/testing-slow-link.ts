import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import type {Milliseconds} from '@gentianlift/types';

/** A TCP proxy on loopback whose bytes towards the caller take long; what is under way is lost when the host resets the connection. */
export type SlowLink = {port: number; close: () => void};

const relay = (caller: Socket, host: Socket, delay: Milliseconds): void => {
	const later = (action: () => void): void => {
		setTimeout(() => {
			if (!host.errored && !caller.destroyed) {
				action();
			}
		}, delay);
	};

	caller.on('data', bytes => {
		host.write(bytes);
	});
	caller.on('end', () => {
		host.end();
	});
	caller.on('error', () => {
		host.destroy();
	});
	host.on('data', bytes => {
		later(() => {
			caller.write(bytes);
		});
	});
	host.on('end', () => {
		later(() => {
			caller.end();
		});
	});
	host.on('error', () => {
		caller.resetAndDestroy();
	});
};

/** Opens a link to a port of 127.0.0.1. */
export const openSlowLink = async (port: number, delay: Milliseconds): Promise<SlowLink> => {
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, caller => {
		const host = connect({host: '127.0.0.1', port, allowHalfOpen: true});
		sockets.add(caller).add(host);
		relay(caller, host, delay);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
