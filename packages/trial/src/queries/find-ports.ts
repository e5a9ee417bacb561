import {createServer, type AddressInfo, type Server} from 'node:net';

const loopback = '127.0.0.1';

const listen = async (): Promise<Server> => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, loopback, () => {
		resolve(server);
	});
});

const close = async (server: Server): Promise<void> => new Promise(resolve => {
	server.close(() => {
		resolve();
	});
});

/** Finds loopback ports that are free now; all are held until the last is found, so that none comes twice. */
export const findPorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, listen));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => close(server)));
	return ports;
};
