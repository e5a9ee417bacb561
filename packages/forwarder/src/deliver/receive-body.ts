import {endsWithConnection} from '@gentianlift/http';
import type {Incoming} from '../send/incoming.js';
import {getBodyEnd, type BodyContent, type BodyEnd} from './body-end.js';

/** Reader of a body's bytes as they arrive. */
export type BodyReader = {
	read: (chunk: Uint8Array) => void;
	/** Returns what the bytes so far tell of the body's end. */
	getContent: () => BodyContent;
};

/** How a body was received: its end, and the error with which its connection was lost before, unless the body itself was the reason. */
export type ReceivedBody = {end: BodyEnd; error: string | undefined};

/** Receives a body; resolves at its end, or when its connection is lost. One that ends with its connection is held until it is known whether that has failed. */
export const receiveBody = async (incoming: Incoming, {read, getContent}: BodyReader): Promise<ReceivedBody> => new Promise(resolve => {
	const {message} = incoming;
	const finish = (error?: string): void => {
		const end = getBodyEnd(incoming, getContent());
		resolve({end, error: end.ending === 'malformed' ? undefined : error});
	};

	const finishAtEnd = async (): Promise<void> => {
		if (message.complete && endsWithConnection(message)) {
			await incoming.waitForEnd();
		}

		finish();
	};

	message.on('data', (chunk: Uint8Array) => {
		try {
			read(chunk);
		} catch (error) {
			message.destroy(error as Error);
		}
	});
	message.once('end', () => {
		void finishAtEnd();
	});
	message.once('error', (error: Error & {code?: string}) => {
		finish(error.code ?? error.message);
	});
	message.once('close', () => {
		void finishAtEnd();
	});
});
