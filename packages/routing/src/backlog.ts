import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamLoad} from './choose-upstream.js';

/** Part of the unread tokens that is taken as unread however long ago the last progress was seen. */
const leastShare = 0.25;

/**
 * Gets the time until an upstream has read the prompts that it was sent. It reads them in the order of arrival,
 * whatever their priority, and `progressAt` is when it was last seen to finish one or to start.
 */
export const getBacklog = ({unreadTokens, progressAt}: UpstreamLoad, speed: number, now: Milliseconds): Milliseconds => {
	const read = Math.max(0, now - progressAt) * speed;
	return Math.max(unreadTokens * leastShare, unreadTokens - read) / speed;
};
