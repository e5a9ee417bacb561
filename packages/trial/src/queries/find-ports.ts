import {createServer, type AddressInfo, type Server} from 'node:net';

/** Finds ports of 127.0.0.1 that no listener uses. */
export type PortFinder = (count: number) => Promise<number[]>;

/**
Ports that are given out: above the usual ones of services, and below those that systems choose for connections (32,768 on Linux, 49,152 elsewhere), so that none is taken by a connection before its host listens on it.
*/
const firstPort = 12_000;
/** Number of ports of a process, and of processes that can have some at a time. */
const portsPerProcess = 250;
const maxProcesses = 48;

/** Listens on a port; resolves with undefined if that is in use. */
const listen = async (port: number): Promise<Server | undefined> => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'EADDRINUSE') {
			resolve(undefined);
		} else {
			reject(error);
		}
	});
	server.listen(port, '127.0.0.1', () => {
		resolve(server);
	});
});

const close = async (server: Server): Promise<void> => new Promise(resolve => {
	server.close(() => {
		resolve();
	});
});

/** Takes a range of ports for this process, by listening on its first one until the process ends; returns that. */
const takeRange = async (): Promise<number> => {
	for (let index = 0; index < maxProcesses; index++) {
		// eslint-disable-next-line no-await-in-loop -- The ranges are tried in order.
		const server = await listen(firstPort + (index * portsPerProcess));
		if (server !== undefined) {
			server.unref();
			return (server.address() as AddressInfo).port;
		}
	}

	throw new Error('too many processes use ports of trials');
};

/** Creates a finder that gives out a port again only after all others of its range. */
export const createPortFinder = (): PortFinder => {
	let range: Promise<number> | undefined;
	let next = 0;

	/** Returns the next port of the range, but the first, which is in use. */
	const getNext = (first: number): number => {
		next = (next % (portsPerProcess - 1)) + 1;
		return first + next;
	};

	const findPort = async (first: number): Promise<number> => {
		for (let tries = 1; tries < portsPerProcess; tries++) {
			const port = getNext(first);
			// eslint-disable-next-line no-await-in-loop -- The ports are tried in order.
			const server = await listen(port);
			if (server !== undefined) {
				// eslint-disable-next-line no-await-in-loop -- As above.
				await close(server);
				return port;
			}
		}

		throw new Error('no port is free');
	};

	return async count => {
		range ??= takeRange();
		const first = await range;
		return Promise.all(Array.from({length: count}, async () => findPort(first)));
	};
};

/** Finds ports of 127.0.0.1 that no listener uses, and that neither a connection nor another process that asks here takes. */
export const findPorts: PortFinder = createPortFinder();
