import type {ClassifiedRequest} from '@gentianlift/types';
import {getAccountHeaders} from './answer.js';
import type {AnswerWriter, CallerStream} from './caller-stream.js';

/** Creates the writer of a whole answer, which is assembled at the end. */
export const createWholeWriter = (mark: () => void): AnswerWriter => ({
	write() {
		mark();
		return true;
	},
	drained: async () => true,
});

/** Creates the writer of a streamed answer. A non-idempotent request runs on to its end when its caller has gone. */
export const createStreamWriter = ({id, idempotent}: Pick<ClassifiedRequest, 'id' | 'idempotent'>, stream: CallerStream, mark: () => void): AnswerWriter => ({
	write(bytes) {
		if (!stream.hasBegun()) {
			stream.begin(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...getAccountHeaders(id, 'ran')});
		}

		mark();
		return stream.write(bytes);
	},
	async drained() {
		const isReading = await stream.drained();
		return isReading || !idempotent;
	},
});
