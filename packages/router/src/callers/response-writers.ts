import type {ClassifiedRequest} from '@gentianlift/types';
import {getAccountHeaders} from './send-response.js';
import type {ResponseWriter, CallerStream} from './caller-stream.js';

/** Creates the writer of a response that isn't streamed. It only records the output: the body is assembled at the end. */
export const createBufferedWriter = (recordOutput: () => void): ResponseWriter => ({
	write() {
		recordOutput();
		return true;
	},
	waitUntilWritable: async () => true,
});

/** Creates the writer of a streamed response. A non-idempotent request continues to its end even if the caller has disconnected. */
export const createStreamWriter = ({id, idempotent}: Pick<ClassifiedRequest, 'id' | 'idempotent'>, stream: CallerStream, recordOutput: () => void): ResponseWriter => ({
	write(bytes) {
		if (!stream.hasBegun()) {
			stream.begin(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...getAccountHeaders(id, 'ran')});
		}

		recordOutput();
		return stream.write(bytes);
	},
	async waitUntilWritable() {
		const isWritable = await stream.waitUntilWritable();
		return isWritable || !idempotent;
	},
});
