import type {Milliseconds} from '@gentianlift/types';
import type {AnswerHandler} from '../test-deployment.js';

/** A stub engine that turns all requests away and asks for rest, and when they have arrived. */
export type RestingEngine = {
	answer: AnswerHandler;
	arrivals: Milliseconds[];
	/** For how long it asks for rest, as in its answers; undefined if it only turns requests away. */
	rest: string | undefined;
};

/** Creates an engine. */
export const createRestingEngine = (rest: string | undefined): RestingEngine => {
	const engine: RestingEngine = {
		arrivals: [],
		rest,
		answer(_, response) {
			engine.arrivals.push(performance.now());
			response.writeHead(503, {'not-run': '1', ...(engine.rest !== undefined && {'retry-after': engine.rest})});
			response.end();
		},
	};
	return engine;
};
