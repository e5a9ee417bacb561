import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Destination of the body of a response. */
export type ResponseWriter = {
	/** Writes bytes; returns false if no more may be written before `waitUntilWritable` resolves. */
	write: (bytes: Uint8Array) => boolean;
	/** Waits until more may be written; resolves to false if the recipient has disconnected. */
	waitUntilWritable: () => Promise<boolean>;
};

/** Response stream to a caller. */
export type CallerStream = ResponseWriter & {
	/** Sends the status and headers; has no effect after the first time. */
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
	end: () => void;
	hasBegun: () => boolean;
	/** Aborted when the caller has disconnected, or has read nothing for the idle timeout, or when an operator forces the host to stop. In the last case the caller still reads, and gets what is written. */
	callerDisconnectedSignal: AbortSignal;
};

/** Options of a response stream. */
export type CallerStreamOptions = {
	clock: Clock;
	/** Time after which a caller that reads nothing is disconnected. */
	idleTimeout: Milliseconds;
	/** Aborted when an operator aborts all requests in flight. */
	abortSignal: AbortSignal;
};

/** Creates the response stream to a caller. */
export const createCallerStream = (response: ServerResponse, {clock, idleTimeout, abortSignal}: CallerStreamOptions): CallerStream => {
	const disconnection = new AbortController();
	let hasDisconnected = false;

	const disconnect = (): void => {
		hasDisconnected = true;
		disconnection.abort();
	};

	const onAbort = (): void => {
		disconnection.abort();
	};

	abortSignal.addEventListener('abort', onAbort, {once: true});
	response.once('close', () => {
		abortSignal.removeEventListener('abort', onAbort);
		if (!response.writableFinished) {
			disconnect();
		}
	});

	const waitForDrainEvent = async (): Promise<boolean> => new Promise(resolve => {
		const finish = (isWritable: boolean): void => {
			cancel();
			response.off('drain', onDrain);
			disconnection.signal.removeEventListener('abort', onDisconnect);
			resolve(isWritable);
		};

		const onDrain = (): void => {
			finish(true);
		};

		const onDisconnect = (): void => {
			finish(false);
		};

		const cancel = clock.after(idleTimeout, () => {
			response.destroy();
			disconnect();
		});
		response.once('drain', onDrain);
		disconnection.signal.addEventListener('abort', onDisconnect);
	});

	return {
		callerDisconnectedSignal: disconnection.signal,
		hasBegun: () => response.headersSent,
		begin(status, headers) {
			if (!response.headersSent && !hasDisconnected) {
				response.statusCode = status;
				for (const [name, value] of Object.entries(headers)) {
					if (value !== undefined) {
						response.setHeader(name, value);
					}
				}

				response.flushHeaders();
			}
		},
		write: bytes => !hasDisconnected && response.write(bytes),
		waitUntilWritable: async () => disconnection.signal.aborted ? false : waitForDrainEvent(),
		end() {
			response.end();
		},
	};
};
