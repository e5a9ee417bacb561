import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Where the bytes of an answer go. */
export type ResponseWriter = {
	/** Takes bytes; false if no more may follow before `drained`. */
	write: (bytes: Uint8Array) => boolean;
	/** Waits until more may follow; false if the reader has gone. */
	waitUntilWritable: () => Promise<boolean>;
};

/** The caller's side of an answer under way. */
export type CallerStream = ResponseWriter & {
	/** Sends the head of the answer, once. */
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
	end: () => void;
	hasBegun: () => boolean;
	/** Aborted when the caller has gone, or has read nothing for too long. */
	callerGone: AbortSignal;
};

/** What the caller's side takes. */
export type CallerStreamOptions = {
	clock: Clock;
	/** Time after which a caller that reads nothing is taken as gone. */
	idleTimeout: Milliseconds;
	/** Aborted when an operator cuts all open requests; the stream counts as gone then. */
	abortSignal: AbortSignal;
};

/** Creates the caller's side of an answer. */
export const createCallerStream = (response: ServerResponse, {clock, idleTimeout, abortSignal}: CallerStreamOptions): CallerStream => {
	const callerGone = new AbortController();
	const onAbort = (): void => {
		callerGone.abort();
	};

	abortSignal.addEventListener('abort', onAbort, {once: true});
	response.once('close', () => {
		abortSignal.removeEventListener('abort', onAbort);
		if (!response.writableFinished) {
			callerGone.abort();
		}
	});

	const waitForDrainEvent = async (): Promise<boolean> => new Promise(resolve => {
		const finish = (isReading: boolean): void => {
			cancel();
			response.off('drain', onDrain);
			callerGone.signal.removeEventListener('abort', onGone);
			resolve(isReading);
		};

		const onDrain = (): void => {
			finish(true);
		};

		const onGone = (): void => {
			finish(false);
		};

		const cancel = clock.after(idleTimeout, () => {
			response.destroy();
			callerGone.abort();
		});
		response.once('drain', onDrain);
		callerGone.signal.addEventListener('abort', onGone);
	});

	return {
		callerGone: callerGone.signal,
		hasBegun: () => response.headersSent,
		begin(status, headers) {
			if (!response.headersSent && !callerGone.signal.aborted) {
				response.statusCode = status;
				for (const [name, value] of Object.entries(headers)) {
					if (value !== undefined) {
						response.setHeader(name, value);
					}
				}

				response.flushHeaders();
			}
		},
		write: bytes => !callerGone.signal.aborted && response.write(bytes),
		waitUntilWritable: async () => callerGone.signal.aborted ? false : waitForDrainEvent(),
		end() {
			response.end();
		},
	};
};
