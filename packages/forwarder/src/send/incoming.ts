import type {IncomingMessage} from 'node:http';

/** A message that is being received. */
export type Incoming = {
	message: IncomingMessage;
	/** Whether the connection has failed. */
	hasFailed: () => boolean;
	/** Whether the chunks or the trailer aren't HTTP; asked once the message has ended or its connection is lost. */
	isBodyMalformed: () => boolean;
	/** Resolves once a message that ends with its connection is known to be whole or not; an answer is not before its request is written, or can't be any more. */
	waitForEnd: () => Promise<void>;
};
