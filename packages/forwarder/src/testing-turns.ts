import type {AnswerHandler} from './test-deployment.js';

/** Creates a handler for all upstreams of a service, which together answer the requests in the order of the handlers; the last one answers all others. */
export const answerInTurn = (...handlers: readonly AnswerHandler[]): AnswerHandler => {
	let next = 0;
	return (request, response) => {
		const handler = handlers[Math.min(next, handlers.length - 1)];
		next += 1;
		handler?.(request, response);
	};
};
