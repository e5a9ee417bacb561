import {once} from 'node:events';
import type {Server} from 'node:http';
import {splitAddress, type Address} from '@gentianlift/types';

/** Connections that may wait to be accepted; many callers connect at once after a start. */
const connectionBacklog = 1024;

/** Makes a server listen on an address; rejects if the address can't be used. */
export const listen = async (server: Server, address: Address): Promise<void> => {
	server.listen({...splitAddress(address), backlog: connectionBacklog});
	await once(server, 'listening');
};
