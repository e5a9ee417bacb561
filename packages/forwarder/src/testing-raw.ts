import {
	sendRaw, startRawServer, type RawHandler, type RawServer,
} from '@gentianlift/http/testing';
import type {RoutingConfiguration} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {configuration} from './test-deployment.js';
import {startTestHost, type TestHost} from './testing.js';

/** A host whose upstreams write raw bytes. */
export type RawDeployment = {host: TestHost; upstreams: RawServer[]};

/** Creates a function that starts a host with raw upstreams, by the usual configuration if no other is given. */
export const createRawStarter = (onFinished: (close: () => void) => void, hostConfiguration: RoutingConfiguration = configuration) => async (...handlers: RawHandler[]): Promise<RawDeployment> => {
	const upstreams = await Promise.all(handlers.map(async handle => startRawServer(handle)));
	const host = await startTestHost(hostConfiguration);
	onFinished(() => {
		host.close();
		for (const {close} of upstreams) {
			close();
		}
	});
	host.setUpstreams(upstreams.map(({address}, index) => buildUpstream({id: `u${index}`, address})));
	return {host, upstreams};
};

/** An answer as the bytes on its caller's connection. */
export type RawAnswer = {status: string; text: string};

/** A request as its caller writes it. */
export type RawRequest = {path: string; attempt: string; fields?: string; body?: string};

/** Sends a request as bytes, as the last one of its connection, and returns its answer as bytes; the status is empty if there is none. */
export const sendRawRequest = async (port: number, {path, attempt, fields = '', body = ''}: RawRequest): Promise<RawAnswer> => {
	const text = await sendRaw(port, `POST ${path} HTTP/1.1\r\nHost: a.example\r\nAttempt: ${attempt}\r\nConnection: close\r\nContent-Length: ${body.length}\r\n${fields}\r\n${body}`);
	return {status: /^HTTP\/1\.1 (?<status>\d{3}) /v.exec(text)?.groups?.status ?? '', text};
};
