import type {IncomingMessage} from 'node:http';

/** An answer on its way from an upstream. */
export type Incoming = {
	message: IncomingMessage;
	/** Whether its connection has failed. */
	hasFailed: () => boolean;
};

/**
 * Tells whether a message that has ended is whole. Without a length its end is that of its connection,
 * and Node takes a reset for an end too.
 */
export const isComplete = ({message, hasFailed}: Incoming): boolean => {
	const hasLength = message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined;
	return message.complete && (hasLength || !hasFailed());
};
