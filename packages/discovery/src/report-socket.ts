import {createSocket, type Socket} from 'node:dgram';
import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** Datagram socket on an address, which is opened again whenever it fails. */
export type ReportSocket = {
	/** Sends a datagram; it is lost while the socket isn't open. */
	send: (datagram: string | Uint8Array, address: Address) => void;
	close: () => void;
};

/** Options of a socket. */
export type ReportSocketOptions = {
	address: Address;
	clock: Clock;
	logger: Logger;
	onMessage: (datagram: Uint8Array) => void;
};

/** Pause before a failed socket is opened again. */
export const reopenDelay: Milliseconds = 500;

/** Opens the socket, and again after an error, as when a previous process still has the address. */
export const openReportSocket = ({address, clock, logger, onMessage}: ReportSocketOptions): ReportSocket => {
	const {host: ip, port} = splitAddress(address);
	const state: {socket: Socket | undefined; isClosed: boolean} = {socket: undefined, isClosed: false};

	const reopen = (failed: Socket, reason: string): void => {
		if (state.socket !== failed) {
			return;
		}

		state.socket = undefined;
		logger.warn('note-socket-failed', {address, reason});
		failed.close();
		clock.after(reopenDelay, open);
	};

	const open = (): void => {
		if (state.isClosed) {
			return;
		}

		const socket = createSocket('udp4');
		state.socket = socket;
		socket.on('message', bytes => {
			onMessage(bytes);
		});
		socket.on('error', error => {
			reopen(socket, error.message);
		});
		socket.bind(port, ip, () => {
			logger.info('note-socket-open', {address});
		});
	};

	open();
	return {
		send(datagram, target) {
			const {host, port: targetPort} = splitAddress(target);
			state.socket?.send(datagram, targetPort, host, error => {
				if (error !== null) {
					logger.warn('note-not-sent', {address: target, length: datagram.length, reason: error.message});
				}
			});
		},
		close() {
			state.isClosed = true;
			state.socket?.close();
			state.socket = undefined;
		},
	};
};
