import type {ServerResponse} from 'node:http';

/** How much of an answer a caller has got, be it an upstream's or an error answer of the router: `partial` if the connection was closed after the answer had begun. */
export type ReceivedAnswer = 'none' | 'partial' | 'whole';

/** Returns how much of an answer was sent to its caller. An answer that was written completely counts as whole unless its connection closed before all of it was sent. */
export const getReceivedAnswer = (response: ServerResponse): ReceivedAnswer => {
	if (!response.headersSent) {
		return 'none';
	}

	const isClosedEarly = response.destroyed && !response.writableFinished;
	return response.writableEnded && !isClosedEarly ? 'whole' : 'partial';
};
