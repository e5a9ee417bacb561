import type {IncomingMessage} from 'node:http';

/** A message that is being received. */
export type Incoming = {
	message: IncomingMessage;
	/** Whether the connection has failed. */
	hasFailed: () => boolean;
	/** Whether the chunks or the trailer aren't HTTP; asked once the message has ended or its connection is lost. */
	isBodyMalformed: () => boolean;
};

/** What marks the end of a message's body: its declared length, its last chunk, or the close of its connection. */
export type Framing = 'length' | 'chunks' | 'close';

/** Returns the framing of a message's body. */
export const getFraming = ({headers}: IncomingMessage): Framing => {
	if (headers['transfer-encoding'] !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'close' : 'length';
};
