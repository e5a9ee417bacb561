import {createServer} from 'node:net';
import {splitAddress, type Address} from '@gentianlift/types';

/** Listens on an address in place of its owner and closes each connection; resolves with a function that gives the address back, and rejects if it is in use. */
export const takeAddress = async (address: Address): Promise<() => void> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.destroy();
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(splitAddress(address), resolve);
	});
	return () => {
		server.close();
	};
};
