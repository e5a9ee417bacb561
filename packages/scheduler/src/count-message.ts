import type {Metrics} from '@gentianlift/metrics';
import type {GrantAnswer, GrantRequest} from '@gentianlift/types';

/** Counts a message between hosts and its bytes as JSON, without framing. */
export const countMessage = (metrics: Metrics, kind: 'ask' | 'answer' | 'push', message: GrantRequest | GrantAnswer): void => {
	metrics.count('grant_messages', {kind});
	metrics.count('grant_bytes', {kind}, JSON.stringify(message).length);
};
