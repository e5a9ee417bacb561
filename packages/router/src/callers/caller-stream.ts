import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Where the bytes of an answer go. */
export type AnswerWriter = {
	/** Takes bytes; false if no more may follow before `drained`. */
	write: (bytes: Uint8Array) => boolean;
	/** Waits until more may follow; false if the reader has gone. */
	drained: () => Promise<boolean>;
};

/** The caller's side of an answer under way. */
export type CallerStream = AnswerWriter & {
	/** Sends the head of the answer, once. */
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
	end: () => void;
	hasBegun: () => boolean;
	/** Aborted when the caller has gone, or has read nothing for too long. */
	gone: AbortSignal;
};

/** What the caller's side takes. */
export type CallerStreamOptions = {
	clock: Clock;
	/** Time after which a caller that reads nothing is taken as gone. */
	silence: Milliseconds;
	/** Aborted when an operator cuts all open requests; the stream counts as gone then. */
	cut: AbortSignal;
};

/** Creates the caller's side of an answer. */
export const createCallerStream = (response: ServerResponse, {clock, silence, cut}: CallerStreamOptions): CallerStream => {
	const gone = new AbortController();
	const onCut = (): void => {
		gone.abort();
	};

	cut.addEventListener('abort', onCut, {once: true});
	response.once('close', () => {
		cut.removeEventListener('abort', onCut);
		if (!response.writableFinished) {
			gone.abort();
		}
	});

	const waitForDrain = async (): Promise<boolean> => new Promise(resolve => {
		const finish = (isReading: boolean): void => {
			cancel();
			response.off('drain', onDrain);
			gone.signal.removeEventListener('abort', onGone);
			resolve(isReading);
		};

		const onDrain = (): void => {
			finish(true);
		};

		const onGone = (): void => {
			finish(false);
		};

		const cancel = clock.after(silence, () => {
			response.destroy();
			gone.abort();
		});
		response.once('drain', onDrain);
		gone.signal.addEventListener('abort', onGone);
	});

	return {
		gone: gone.signal,
		hasBegun: () => response.headersSent,
		begin(status, headers) {
			if (!response.headersSent && !gone.signal.aborted) {
				response.statusCode = status;
				for (const [name, value] of Object.entries(headers)) {
					if (value !== undefined) {
						response.setHeader(name, value);
					}
				}

				response.flushHeaders();
			}
		},
		write: bytes => !gone.signal.aborted && response.write(bytes),
		drained: async () => gone.signal.aborted ? false : waitForDrain(),
		end() {
			response.end();
		},
	};
};
