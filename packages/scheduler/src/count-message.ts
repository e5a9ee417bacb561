import type {Metrics} from '@gentianlift/metrics';
import type {GrantAnswer, GrantRequest} from '@gentianlift/types';

/** Of this many messages one is measured, since turning each into text once more costs as much as sending it. */
const messagesPerSample = 16;

/** Counts a message between hosts, and estimates the bytes of all as JSON, without framing, from a sample. */
export const countMessage = (metrics: Metrics, kind: 'ask' | 'answer' | 'push', message: GrantRequest | GrantAnswer): void => {
	metrics.count('grant_messages', {kind});
	if (metrics.getValue('grant_messages', {kind}) % messagesPerSample === 0) {
		metrics.count('grant_bytes', {kind}, JSON.stringify(message).length * messagesPerSample);
	}
};
