/** Stand-in for clients: they send requests to a host and record what comes back. */
import {Agent, request} from 'node:http';
import {randomBytes} from 'node:crypto';

export const hostname = 'review.example';
export const key = 'key1key1key1';

/** Creates clients that keep connections open. */
export const createClients = record => {
	const agent = new Agent({keepAlive: true});
	return {
		/** Sends a request; resolves with what the client has got. */
		async send({
			address, path, method = 'POST', deadline = 1500, body = 'x'.repeat(600), headers = {}, id = randomBytes(8).toString('hex'), isNewConnection = false,
		}) {
			const sentAt = performance.now();
			const [host, port] = address.split(':');
			record.add('sent', {attempt: id, to: address, path});
			const result = {
				id, sentAt, status: undefined, text: '', isComplete: false, error: undefined, endedAt: undefined, headers: {},
			};
			await new Promise(resolve => {
				const timer = setTimeout(() => {
					outgoing.destroy(new Error('deadline'));
				}, deadline + 1000);
				const outgoing = request({
					host,
					port,
					method,
					path,
					agent: isNewConnection ? new Agent() : agent,
					headers: {
						host: hostname, 'gentianlift-attempt-id': id, 'gentianlift-deadline-ms': String(deadline), 'gentianlift-key': key, ...(method === 'POST' && {'content-length': body.length}), ...headers,
					},
				});
				const finish = error => {
					clearTimeout(timer);
					result.error ??= error;
					result.endedAt ??= performance.now();
					resolve();
				};

				outgoing.on('response', response => {
					result.status = response.statusCode;
					result.headers = response.headers;
					response.on('data', chunk => {
						result.text += chunk;
					});
					response.on('end', () => {
						result.isComplete = response.complete;
						finish();
					});
					response.on('error', error => finish(error.code ?? error.message));
					response.on('close', () => finish());
				});
				outgoing.on('error', error => finish(error.code ?? error.message));
				outgoing.end(method === 'POST' ? body : undefined);
			});
			record.add('answered', {
				attempt: id, status: result.status, complete: result.isComplete, error: result.error, after: Math.round(result.endedAt - sentAt),
			});
			return result;
		},
		close() {
			agent.destroy();
		},
	};
};
