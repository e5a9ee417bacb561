import {
	Agent, createServer, request as createRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

/** Addresses of the engines. This process is the baseline for the router: a bare HTTP relay on Node's `http` that chooses engines round robin, without parsing or scheduling. */
const upstreams = (process.argv[2] ?? '').split(',').map(address => address.split(':'));
const agent = new Agent({keepAlive: true});
let nextUpstream = 0;

const relay = (incoming: IncomingMessage, response: ServerResponse): void => {
	const [host, port] = upstreams[nextUpstream++ % upstreams.length] ?? [];
	const outgoing = createRequest({
		host, port, method: incoming.method, path: incoming.url, headers: incoming.headers, agent,
	}, answer => {
		response.writeHead(answer.statusCode ?? 502, answer.headers);
		answer.pipe(response);
	});
	outgoing.on('error', () => {
		response.destroy();
	});
	response.on('close', () => {
		outgoing.destroy();
	});
	incoming.pipe(outgoing);
};

const server = createServer({noDelay: true}, relay);
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`listening 127.0.0.1:${(server.address() as AddressInfo).port}\n`);
});
process.once('SIGTERM', () => {
	process.exit();
});
