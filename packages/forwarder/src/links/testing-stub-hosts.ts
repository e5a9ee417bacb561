import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {HostRecord} from '@gentianlift/discovery';
import type {RoutingConfiguration} from '@gentianlift/routing';
import {createHostStarter, type TestDeployment} from '../test-deployment.js';

/** A host whose calls go over stub hosts, and the names of the stub hosts that have received a request, in order. */
export type StubHostDeployment = {deployment: TestDeployment; received: string[]};

const startStubHost = async (name: string, answer: RequestListener, onFinished: (close: () => void) => void): Promise<HostRecord> => {
	const server = createServer(answer);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	onFinished(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	return {
		host: name, incarnation: 1, zone: 'a', callers: '', peers: `127.0.0.1:${port}`, notes: '', strength: 1, isStopping: false,
	};
};

/** Creates a function that starts a host without upstreams, whose links are cut and whose calls go over stub hosts, each once. */
export const createStubHostStarter = (onFinished: (close: () => void) => void, configuration?: RoutingConfiguration) => async (...answers: RequestListener[]): Promise<StubHostDeployment> => {
	const received: string[] = [];
	const records = await Promise.all(answers.map(async (answer, index) => startStubHost(`h${index}`, (request, response) => {
		received.push(`h${index}`);
		answer(request, response);
	}, onFinished)));
	const deployment = await createHostStarter(onFinished, configuration)();
	const {context} = deployment.host;
	context.reportExchange.getSilence = () => 0;
	context.links.choosePath = (_, tried) => {
		const host = records.find(record => !tried.has(record.host));
		return host === undefined ? {kind: 'none'} : {kind: 'over-host', host};
	};

	return {deployment, received};
};
