import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClassifiedRequest, RequestId} from '@gentianlift/types';

/** HTTP request of a caller and its response. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Changes once, when the id of a non-idempotent request is extended by the location of its claim. */
	id: RequestId;
	/** Set once the request is classified. */
	classified: ClassifiedRequest | undefined;
};
