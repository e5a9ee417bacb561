import type {IncomingMessage} from 'node:http';

/** A message that is being received. */
export type Incoming = {
	message: IncomingMessage;
	/** Whether the connection has failed. */
	hasFailed: () => boolean;
};

/**
 * Whether a message that has ended is complete. Without a declared length or chunked encoding it ends with its connection,
 * and Node reports a reset as an end too.
 */
export const isComplete = ({message, hasFailed}: Incoming): boolean => {
	const hasLength = message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined;
	return message.complete && (hasLength || !hasFailed());
};
