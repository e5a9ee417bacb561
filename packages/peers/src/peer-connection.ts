import type {ClientRequest} from 'node:http';
import {WebSocket} from 'ws';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import {checkAnswer} from '@gentianlift/http';
import type {Address, HostId, Milliseconds} from '@gentianlift/types';
import {compactCodec} from './compact.js';
import type {Credentials} from './credentials.js';
import type {PeerRouter} from './peer-router.js';

/** A connection to another host and the client that makes calls on it. */
export type PeerConnection = {
	to: HostId;
	address: Address;
	client: ReturnType<typeof createTRPCClient<PeerRouter>>;
	/** Aborted when the connection is lost, which cancels the calls in flight. */
	lost: AbortSignal;
	/** Whether the connection was ever open; if not, no call was sent on it. */
	hasOpened: () => boolean;
	close: () => void;
};

/** Options of a connection. */
export type PeerConnectionOptions = {
	to: HostId;
	address: Address;
	getCredentials: () => Credentials;
	/** Time without traffic after which a ping is sent, and time after the ping without a pong after which the connection is closed. */
	silenceTimeout: Milliseconds;
};

/** Sends the request that opens a connection, and gives the connection up if the answer's head isn't HTTP. */
const sendHandshake = (request: ClientRequest, socket: WebSocket): void => {
	const check = checkAnswer(request);
	socket.once('upgrade', () => {
		if (check.isHeadMalformed()) {
			socket.terminate();
		}
	});
	request.end();
};

/** Connection of the library's client, whose handshake is checked. */
class CheckedWebSocket extends WebSocket {
	constructor(url: string) {
		super(url, {finishRequest: sendHandshake});
	}
}

/** Opens a connection to another host. It doesn't reconnect once the connection is lost. */
export const openPeerConnection = ({to, address, getCredentials, silenceTimeout}: PeerConnectionOptions): PeerConnection => {
	const lost = new AbortController();
	let isOpened = false;
	const socketClient = createWSClient({
		url: `ws://${address}`,
		WebSocket: CheckedWebSocket as unknown as typeof globalThis.WebSocket,
		connectionParams: () => ({...getCredentials()}),
		keepAlive: {enabled: true, intervalMs: silenceTimeout, pongTimeoutMs: silenceTimeout},
		onOpen() {
			isOpened = true;
		},
		onClose() {
			lost.abort();
		},
		onError() {
			lost.abort();
		},
	});
	const close = (): void => {
		lost.abort();
		// Closing rejects for calls in flight; their callers are already notified by the abort signal.
		socketClient.close().catch(() => undefined);
	};

	lost.signal.addEventListener('abort', close, {once: true});
	return {
		to,
		address,
		client: createTRPCClient<PeerRouter>({links: [wsLink({client: socketClient, transformer: compactCodec})]}),
		lost: lost.signal,
		hasOpened: () => isOpened,
		close,
	};
};
