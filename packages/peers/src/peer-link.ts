import {WebSocket} from 'ws';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {Address, HostId, Milliseconds} from '@gentianlift/types';
import {compactCodec} from './compact.js';
import type {Credentials} from './credentials.js';
import type {PeerRouter} from './peer-router.js';

/** One connection to another host, with the calls it carries. */
export type PeerLink = {
	to: HostId;
	address: Address;
	client: ReturnType<typeof createTRPCClient<PeerRouter>>;
	/** Aborted when the connection is lost; calls under way end then. */
	lost: AbortSignal;
	/** Whether the connection was ever open: if not, nothing was sent on it. */
	wasOpen: () => boolean;
	close: () => void;
};

/** Parts that a connection needs. */
export type PeerLinkOptions = {
	to: HostId;
	address: Address;
	getCredentials: () => Credentials;
	/** Silence after which the other side is asked for a sign of life, and again before it is given up. */
	silence: Milliseconds;
};

/** Opens a connection to another host; it isn't opened again once lost. */
export const openPeerLink = ({to, address, getCredentials, silence}: PeerLinkOptions): PeerLink => {
	const lost = new AbortController();
	let open = false;
	const connection = createWSClient({
		url: `ws://${address}`,
		WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
		connectionParams: () => ({...getCredentials()}),
		keepAlive: {enabled: true, intervalMs: silence, pongTimeoutMs: silence},
		onOpen() {
			open = true;
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
		// Closing reports the calls still under way as failed; their callers have the abort already.
		connection.close().catch(() => undefined);
	};

	lost.signal.addEventListener('abort', close, {once: true});
	return {
		to,
		address,
		client: createTRPCClient<PeerRouter>({links: [wsLink({client: connection, transformer: compactCodec})]}),
		lost: lost.signal,
		wasOpen: () => open,
		close,
	};
};
