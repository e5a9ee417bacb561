import {createChunkStream, type ChunkStream} from './chunk-stream.js';
import type {UpstreamResponse} from './exchange.js';

/** Creates the stream for a response body. While its reader is slow, reading from the connection and the silence timer are paused. */
export const createResponseStream = ({message, silenceTimer, abort}: UpstreamResponse): ChunkStream => createChunkStream({
	pause() {
		message.pause();
		silenceTimer.pause();
	},
	resume() {
		message.resume();
		silenceTimer.resume();
	},
	cancel() {
		abort({kind: 'cancelled'});
	},
});
