import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {splitAddress, type Address} from '@gentianlift/types';
import {holdPort, type HeldPort} from '../testing-held-port.js';

/**
 * State of the link between one host and one upstream:
 * - `open`: all passes
 * - `reset`: open connections are reset, new ones are refused
 * - `silent`: open connections pass nothing more, new ones are refused
 * - `established`: open connections live on, new ones are refused
 * - `hanging`: open connections pass nothing more, attempts to open one get no answer
 */
export type HostLinkState = 'open' | 'reset' | 'silent' | 'established' | 'hanging';

/** A TCP proxy on loopback through which one host reaches one upstream. */
export type HostLink = {
	/** Address to connect to instead of the upstream's. */
	address: Address;
	setState: (state: HostLinkState) => void;
	close: () => void;
};

const listenOn = async (server: Server, ip: string, port: number): Promise<number> => {
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return (server.address() as AddressInfo).port;
};

const isSilent = (state: HostLinkState): boolean => state === 'silent' || state === 'hanging';

/** Passes bytes and the end of one socket on to another; bytes that arrive while the link is silent are lost. */
const relay = (from: Socket, to: Socket, getState: () => HostLinkState): void => {
	from.on('data', bytes => {
		if (!isSilent(getState())) {
			to.write(bytes);
		}
	});
	from.on('error', () => undefined);
	from.on('close', () => {
		if (!isSilent(getState())) {
			to.destroy();
		}
	});
};

/** Opens a link to an upstream, on a port of the given IP address. */
export const openHostLink = async (ip: string, target: Address): Promise<HostLink> => {
	const sockets = new Set<Socket>();
	let state: HostLinkState = 'open';
	const getState = (): HostLinkState => state;
	const server = createServer(caller => {
		const remote = connect(splitAddress(target));
		for (const socket of [caller, remote]) {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		}

		relay(caller, remote, getState);
		relay(remote, caller, getState);
	});
	const port = await listenOn(server, ip, 0);
	const address = `${ip}:${port}`;
	let heldPort: Promise<HeldPort> | undefined;

	const reopen = async (): Promise<void> => {
		const held = await heldPort;
		await held?.release();
		heldPort = undefined;
		await listenOn(server, ip, port);
	};

	return {
		address,
		setState(next) {
			state = next;
			if (next === 'open') {
				void reopen();
				return;
			}

			server.close();
			if (next === 'hanging') {
				heldPort = holdPort(address);
			}

			if (next === 'reset') {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}
		},
		close() {
			server.close();
			void heldPort?.then(async held => held.release());
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
