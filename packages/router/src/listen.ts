import type {Server} from 'node:http';
import {splitAddress, type Address} from '@gentianlift/types';

/** Starts to listen; rejects if the address can't be bound. */
export const listen = async (server: Server, address: Address): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(splitAddress(address), () => {
		server.off('error', reject);
		resolve();
	});
});

/** Closes the server to new connections and resolves when the last connection has ended. */
export const closeServer = async (server: Server): Promise<void> => new Promise(resolve => {
	server.close(() => {
		resolve();
	});
	server.closeIdleConnections();
});
