import type {Server} from 'node:http';
import type {Address} from '@gentianlift/types';

/** Splits an address into the parts that listening takes. */
export const getListenOptions = (address: Address): {host: string; port: number} => {
	const {hostname, port} = new URL(`http://${address}`);
	return {host: hostname, port: Number(port)};
};

/** Starts to listen; rejects if the address can't be used. */
export const listen = async (server: Server, address: Address): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(getListenOptions(address), () => {
		server.off('error', reject);
		resolve();
	});
});

/** Stops to listen and resolves when the last connection has ended. */
export const closeServer = async (server: Server): Promise<void> => new Promise(resolve => {
	server.close(() => {
		resolve();
	});
	server.closeIdleConnections();
});
