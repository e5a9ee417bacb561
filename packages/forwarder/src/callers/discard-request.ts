import type {IncomingMessage} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Time for which the rest of a refused request is read: a close with unread bytes would reset the connection, and its caller might lose the answer. */
const maxDiscardTime: Milliseconds = 1000;

/** Reads the rest of a request without keeping it; calls `onEnd` once, when the request has ended or after a time. */
export const discardRequest = (request: IncomingMessage, clock: Clock, onEnd: () => void): void => {
	const finish = (): void => {
		cancelTimer();
		request.off('end', finish);
		request.off('close', finish);
		onEnd();
	};

	const cancelTimer = clock.after(maxDiscardTime, finish);
	request.once('end', finish);
	request.once('close', finish);
	request.resume();
};
