import type {IncomingMessage} from 'node:http';

/** What marks the end of a message's body: its declared length, its last chunk, or the close of its connection. */
export type Framing = 'length' | 'chunks' | 'close';

/** Returns the framing of a message's body. */
export const getFraming = ({headers}: Pick<IncomingMessage, 'headers'>): Framing => {
	if (headers['transfer-encoding'] !== undefined) {
		return 'chunks';
	}

	return headers['content-length'] === undefined ? 'close' : 'length';
};

/** Statuses of answers without a body, which end with their heads (RFC 9112, section 6.3). */
const bodilessStatuses = new Set([204, 304]);

/** Whether an answer to a request of a method has a body; one without may name the length or the chunks that it would have. */
export const hasBody = ({statusCode = 0}: Pick<IncomingMessage, 'statusCode'>, method: string): boolean =>
	method !== 'HEAD' && !bodilessStatuses.has(statusCode);

/** Whether an answer has a body that ends with its connection. */
export const endsWithConnection = (answer: IncomingMessage): boolean =>
	getFraming(answer) === 'close' && !bodilessStatuses.has(answer.statusCode ?? 0);
