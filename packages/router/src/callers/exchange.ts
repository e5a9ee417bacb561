import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClassifiedRequest, RequestId} from '@gentianlift/types';

/** One request of a caller and its answer. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Changes once, when a booking's id is extended by the place of its claim. */
	id: RequestId;
	/** Set once the request is classified. */
	classified: ClassifiedRequest | undefined;
};
