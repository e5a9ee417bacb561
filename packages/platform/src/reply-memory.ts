/** Thrown when a reply is given up as all replies together exceed their limit. */
export class ReplyMemoryError extends Error {
	constructor() {
		super('reply-memory-exceeded');
	}
}

/** Bytes that one reply holds while it arrives. */
export type ReplyAccount = {
	/** Sets how many bytes the reply holds. */
	hold: (bytes: number) => void;
	/** Ends: the reply holds nothing any more. */
	end: () => void;
};

/** Limit on the bytes that all replies hold together while they arrive. Beyond it the largest one is given up, so that a reply of a usual size isn't lost beside replies without end. */
export type ReplyMemory = {
	/** Opens the account of a reply; `giveUp` is called once if it has to give its bytes up. */
	open: (giveUp: (error: ReplyMemoryError) => void) => ReplyAccount;
	/** Returns the number of bytes that are held. */
	getHeldBytes: () => number;
};

type OpenReply = {bytes: number; giveUp: (error: ReplyMemoryError) => void};

/** Creates it without replies; `limit` is in bytes. */
export const createReplyMemory = (limit: number): ReplyMemory => {
	const replies = new Set<OpenReply>();
	let heldBytes = 0;

	const end = (reply: OpenReply): void => {
		if (replies.delete(reply)) {
			heldBytes -= reply.bytes;
		}
	};

	const findLargest = (): OpenReply | undefined => {
		let largest: OpenReply | undefined;
		for (const reply of replies) {
			if (reply.bytes > (largest?.bytes ?? 0)) {
				largest = reply;
			}
		}

		return largest;
	};

	const isExceeded = (): boolean => heldBytes > limit;

	const giveUpBeyondLimit = (): void => {
		while (isExceeded()) {
			const largest = findLargest();
			if (largest === undefined) {
				return;
			}

			end(largest);
			largest.giveUp(new ReplyMemoryError());
		}
	};

	return {
		open(giveUp) {
			const reply: OpenReply = {bytes: 0, giveUp};
			replies.add(reply);
			return {
				hold(bytes) {
					if (!replies.has(reply)) {
						return;
					}

					heldBytes += bytes - reply.bytes;
					reply.bytes = bytes;
					giveUpBeyondLimit();
				},
				end() {
					end(reply);
				},
			};
		},
		getHeldBytes: () => heldBytes,
	};
};

/** Most bytes that the replies of all clients of a process hold together while they arrive. */
const maxBytesAtOnce = 16 * 1024 * 1024;

/** Memory of all clients of a process, as it is the process that is killed if it takes too much. */
export const processReplyMemory = createReplyMemory(maxBytesAtOnce);
