import type {ServerResponse} from 'node:http';

/**
Ends a response that has begun but can't be completed, so that its recipient sees that it is incomplete: its connection is closed before the last chunk or the announced length. A recipient of HTTP/1.0 takes the close of the connection for the end of the body, so that the connection is reset.
*/
export const cutResponse = (response: ServerResponse): void => {
	if (response.req.httpVersion === '1.0') {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
