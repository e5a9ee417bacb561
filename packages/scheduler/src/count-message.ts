import type {Metrics} from '@gentianlift/metrics';
import type {GrantResponse, GrantRequest} from '@gentianlift/types';

/** One in this many messages is measured, since serializing each a second time costs as much as sending it. */
const messagesPerSample = 16;

/** Counts a message between hosts, and estimates from a sample the bytes of all as JSON, without framing. */
export const countMessage = (metrics: Metrics, kind: 'ask' | 'answer' | 'push', message: GrantRequest | GrantResponse): void => {
	metrics.count('grant_messages', {kind});
	if (metrics.getValue('grant_messages', {kind}) % messagesPerSample === 0) {
		metrics.count('grant_bytes', {kind}, JSON.stringify(message).length * messagesPerSample);
	}
};
