import {createSystemClock} from '@gentianlift/clock';
import {startRawServer, type RawHandler, type RawServer} from '@gentianlift/http/testing';
import {createUpstreamClient, type UpstreamClient} from './index.js';

/** A client, and an upstream that writes raw bytes. */
export type RawUpstream = RawServer & {client: UpstreamClient};

const silenceLimits = {
	caller: 10_000, firstToken: 60_000, betweenTokens: 10_000, service: 1000, peer: 1000, platform: 1000, watch: 1000,
};

/** Starts an upstream that writes raw bytes, and a client for it. */
export const startRawUpstream = async (handle: RawHandler, onFinished: (close: () => void) => void): Promise<RawUpstream> => {
	const server = await startRawServer(handle);
	const client = createUpstreamClient({clock: createSystemClock(), silenceLimits});
	onFinished(() => {
		client.close();
		server.close();
	});
	return {...server, client};
};
