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

/** Finds free loopback ports; keeps each of them open until all are found, so that they are distinct. */
export const findPorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, listen));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => close(server)));
	return ports;
};
