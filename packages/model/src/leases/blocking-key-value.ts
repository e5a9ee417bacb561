import type {MemoryKeyValue} from '@gentianlift/platform';
import type {
	CompareAndSwap, KeyValueService, LeaseOutcome, WriteOutcome,
} from '@gentianlift/types';
import type {ReplyKind} from './state.js';

/** State of a host's calls to the key-value service. */
export type CallState = {
	/** Functions that release the blocked calls, oldest first. */
	blockedCalls: Array<() => void>;
	/** Outcome of the next write. */
	reply: ReplyKind;
	/** Whether the reply to the next end of a lease is lost. */
	isEndLost: boolean;
	/** Incremented at each crash, so that a call from before the crash never continues. */
	incarnation: number;
};

const waitForRelease = async (calls: CallState): Promise<void> => {
	const {incarnation} = calls;
	await new Promise<void>(resolve => {
		calls.blockedCalls.push(resolve);
	});
	if (calls.incarnation !== incarnation) {
		await new Promise<never>(() => {
			// A call of a crashed host never continues.
		});
	}
};

/** Applies a write as its reply says; one that takes effect late is added to `lateWrites`. */
const write = async (memory: MemoryKeyValue, change: CompareAndSwap, reply: ReplyKind, lateWrites: CompareAndSwap[]): Promise<WriteOutcome> => {
	switch (reply) {
		case 'arrives': {
			return memory.compareAndSwap(change);
		}

		case 'lost-applied': {
			await memory.compareAndSwap(change);
			break;
		}

		case 'lost-late': {
			lateWrites.push(change);
			break;
		}

		case 'lost-dropped': {
			break;
		}
	}

	return {kind: 'unknown', reason: reply};
};

/** Creates a host's access to the key-value service; each of its writes and lease calls blocks until an event of the trace releases it. */
export const createBlockingKeyValue = (memory: MemoryKeyValue, calls: CallState, lateWrites: CompareAndSwap[]): KeyValueService => ({
	...memory,
	async grantLease(duration): Promise<LeaseOutcome> {
		await waitForRelease(calls);
		return memory.grantLease(duration);
	},
	async compareAndSwap(change): Promise<WriteOutcome> {
		await waitForRelease(calls);
		return write(memory, change, calls.reply, lateWrites);
	},
	async endLease(lease): Promise<LeaseOutcome> {
		await waitForRelease(calls);
		return calls.isEndLost ? {kind: 'unknown', reason: 'lost'} : memory.endLease(lease);
	},
});
