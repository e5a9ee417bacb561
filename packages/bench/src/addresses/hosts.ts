import {
	createServer, request as createRequest, Agent, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';

/** A host that serves, passes on or redirects. */
export type Host = {address: Address; close: () => void};

/** Time that a message takes between two availability zones and back. */
export const zoneRoundTrip: Milliseconds = 2;
const events = 100;
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

/** Starts a host that serves a stream, an event each turn of the loop. */
export const startServingHost = async (): Promise<Host> => startServer((_request, response) => {
	let left = events;
	const write = (): void => {
		left--;
		response.write(event);
		if (left > 0) {
			setImmediate(write);
		} else {
			response.end();
		}
	};

	write();
});

/** Starts a host in another zone than the right one, which passes requests on to that. */
export const startPassingHost = async (target: Address, clock: Clock): Promise<Host> => {
	const agent = new Agent({keepAlive: true});
	const [host, port] = target.split(':');
	const passOn = async (response: ServerResponse): Promise<void> => {
		await clock.sleep(zoneRoundTrip);
		createRequest({
			host, port, agent, method: 'POST', path: '/',
		}, answer => {
			answer.pipe(response);
		}).end();
	};

	return startServer((_request, response) => {
		void passOn(response);
	});
};

/** Starts a host that names the right one. */
export const startRedirectingHost = async (target: Address): Promise<Host> => startServer((_request, response) => {
	response.writeHead(307, {location: `http://${target}/`}).end();
});
