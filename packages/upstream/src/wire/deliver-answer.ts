import {createDelivery, type Delivery} from './delivery.js';
import type {Answer} from './exchange.js';

/** Creates the delivery of an answer: its connection is held back, and its silence not counted, while the reader is slow. */
export const createAnswerDelivery = ({response, silence, abandon}: Answer): Delivery => createDelivery({
	pause() {
		response.pause();
		silence.pause();
	},
	resume() {
		response.resume();
		silence.resume();
	},
	cancel() {
		abandon({kind: 'cancelled'});
	},
});
