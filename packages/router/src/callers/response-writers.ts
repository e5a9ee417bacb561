import type {ClassifiedRequest} from '@gentianlift/types';
import {getAccountHeaders} from './send-response.js';
import type {ResponseWriter, CallerStream} from './caller-stream.js';

/** Creates the writer of a whole answer, which is assembled at the end. */
export const createBufferedWriter = (recordOutput: () => void): ResponseWriter => ({
	write() {
		recordOutput();
		return true;
	},
	waitUntilWritable: async () => true,
});

/** Creates the writer of a streamed answer. A non-idempotent request runs on to its end when its caller has gone. */
export const createStreamWriter = ({id, idempotent}: Pick<ClassifiedRequest, 'id' | 'idempotent'>, stream: CallerStream, recordOutput: () => void): ResponseWriter => ({
	write(bytes) {
		if (!stream.hasBegun()) {
			stream.begin(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...getAccountHeaders(id, 'ran')});
		}

		recordOutput();
		return stream.write(bytes);
	},
	async waitUntilWritable() {
		const isReading = await stream.waitUntilWritable();
		return isReading || !idempotent;
	},
});
