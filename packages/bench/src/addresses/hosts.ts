import {
	createServer, request as createRequest, Agent, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';

/** Fake host that serves, forwards or redirects requests. */
export type Host = {address: Address; close: () => void};

/** Simulated round-trip time between two availability zones. */
export const zoneRoundTrip: Milliseconds = 2;
const eventCount = 100;
const event = `data: ${JSON.stringify({id: 'chatcmpl-1', choices: [{index: 0, delta: {content: 'word '}}]})}\n\n`;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const startServer = async (handle: Handler): Promise<Host> => {
	const server: Server = createServer(handle);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

/** Starts a host that answers with a stream, writing one event per turn of the event loop. */
export const startServingHost = async (): Promise<Host> => startServer((_request, response) => {
	let remaining = eventCount;
	const write = (): void => {
		remaining--;
		response.write(event);
		if (remaining > 0) {
			setImmediate(write);
		} else {
			response.end();
		}
	};

	write();
});

/** Starts a host that forwards requests to the target host in another availability zone. */
export const startForwardingHost = async (target: Address, clock: Clock): Promise<Host> => {
	const agent = new Agent({keepAlive: true});
	const [host, port] = target.split(':');
	const forward = async (response: ServerResponse): Promise<void> => {
		await clock.sleep(zoneRoundTrip);
		createRequest({
			host, port, agent, method: 'POST', path: '/',
		}, answer => {
			answer.pipe(response);
		}).end();
	};

	return startServer((_request, response) => {
		void forward(response);
	});
};

/** Starts a host that redirects requests to the target host. */
export const startRedirectingHost = async (target: Address): Promise<Host> => startServer((_request, response) => {
	response.writeHead(307, {location: `http://${target}/`}).end();
});
