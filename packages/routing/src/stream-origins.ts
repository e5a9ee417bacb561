import type {Milliseconds} from '@gentianlift/types';

/** What wrote the first event of a stream; only upstreams of this service and version can resume it. */
export type StreamOrigin = {service: string; softwareVersion: string};

/** A stream that has begun: the caller's id of the request that brought its first event, and its origin. */
export type StartedStream = StreamOrigin & {request: string};

/** Origins of the streams that have begun in the fleet lately, with bounded memory. */
export type StreamOrigins = {
	/** Adds a stream; a known one keeps its origin. */
	add: (stream: StartedStream, now: Milliseconds) => void;
	/** Returns the origin of the stream that began with a request; undefined if it isn't known or too old. */
	get: (request: string, now: Milliseconds) => StreamOrigin | undefined;
};

/** Time for which a stream may be resumed: longer than callers wait for one. */
export const streamLifetime: Milliseconds = 60_000;
/** Maximum number of streams; beyond it the oldest are forgotten. */
const maxStreams = 50_000;

/** Creates an empty memory. */
export const createStreamOrigins = (): StreamOrigins => {
	/** In the order of their beginnings, as a `Map` iterates in the order of insertion. */
	const streams = new Map<string, {origin: StreamOrigin; addedAt: Milliseconds}>();

	const forgetOld = (now: Milliseconds): void => {
		for (const [request, {addedAt}] of streams) {
			if (streams.size <= maxStreams && now - addedAt <= streamLifetime) {
				return;
			}

			streams.delete(request);
		}
	};

	return {
		add({request, service, softwareVersion}, now) {
			if (!streams.has(request)) {
				streams.set(request, {origin: {service, softwareVersion}, addedAt: now});
				forgetOld(now);
			}
		},
		get(request, now) {
			const stream = streams.get(request);
			return stream !== undefined && now - stream.addedAt <= streamLifetime ? stream.origin : undefined;
		},
	};
};
