import type {Call, Progress} from '../call.js';
import {findHeadObstacle} from './continuation.js';
import {deliverEvents, type EventDelivery} from './deliver-events.js';
import type {AnsweredOutcome, ForwardOutcome} from './forward-outcome.js';

/** An answer that is to be delivered. */
export type AnswerDelivery = EventDelivery & {
	/** Delivers an answer that isn't a stream. */
	deliverBody: (call: Call, progress: Progress, outcome: AnsweredOutcome, isClosing: () => boolean) => Promise<ForwardOutcome>;
};

/** Delivers an answer of an upstream or of another host, unless its caller has a part of a stream that it can't go on with. */
export const deliverAnswer = async (delivery: AnswerDelivery): Promise<ForwardOutcome> => {
	const {call, progress, outcome, isClosing, deliverBody} = delivery;
	const {head, answer} = outcome;
	const obstacle = findHeadObstacle(progress, head);
	if (obstacle !== undefined) {
		answer.message.destroy();
		return {kind: 'failed', reason: obstacle};
	}

	return head.isEventStream && head.status < 300 ? deliverEvents(delivery) : deliverBody(call, progress, outcome, isClosing);
};
