import type {Call, Progress} from '../call.js';
import {canContinue} from './continuation.js';
import {deliverStream, writeAnswerHead} from './deliver.js';
import type {AnsweredOutcome, ForwardOutcome} from './forward-outcome.js';

/** A streamed answer that is to be delivered, and listeners to its arrival. */
export type EventDelivery = {
	call: Call;
	progress: Progress;
	outcome: AnsweredOutcome;
	/** Whether the connection is closed after the answer; asked when the head is written, as the host may begin to stop while the answer arrives. */
	isClosing: () => boolean;
	/** Called with each chunk. */
	onChunk: () => void;
	/** Called once, when the first bytes arrive. */
	onFirstBytes: () => void;
	/** Called once, when the first bytes are about to be written to the caller. */
	onFirstWrite: () => void;
};

/** Delivers a streamed answer to the caller. */
export const deliverEvents = async ({
	call, progress, outcome: {head, answer}, isClosing, onChunk, onFirstBytes, onFirstWrite,
}: EventDelivery): Promise<ForwardOutcome> => {
	answer.message.on('data', onChunk);
	const delivery = await deliverStream({
		head, answer, response: call.response, progress, isResumable: call.mayExecuteAgain, isClosing, onFirstBytes, onFirstWrite,
	});
	switch (delivery.kind) {
		case 'complete': {
			if (!call.response.headersSent) {
				writeAnswerHead(call.response, head, isClosing());
			}

			call.response.end();
			return {kind: 'delivered', status: head.status};
		}

		case 'cut': {
			return {kind: canContinue(call, progress) ? 'failed' : 'spoiled', reason: delivery.reason};
		}
	}
};
