import type {Milliseconds} from '@gentianlift/types';

/** What a host's process did wrong by itself. */
export type ProcessFailure
	/** It exited although nothing had told it to, also while it was starting. */
	= | {kind: 'unexpected-exit'; exit: string}
		/** It was still there after its grace period, and was killed. */
		| {kind: 'late-exit'; gracePeriod: Milliseconds}
		/** It ended otherwise than with status 0 after SIGTERM. */
		| {kind: 'failed-exit'; exit: string}
		/** It had more resident memory than its settings allow; sizes in bytes. */
		| {kind: 'memory'; peak: number; limit: number};

const bytesPerMegabyte = 1_000_000;

const formatMegabytes = (bytes: number): string => `${Math.round(bytes / bytesPerMegabyte)} MB`;

/** Describes a failure of a process for the report of a run. */
export const describeProcessFailure = (failure: ProcessFailure): string => {
	switch (failure.kind) {
		case 'unexpected-exit': {
			return `exited unexpectedly: ${failure.exit}`;
		}

		case 'late-exit': {
			return `didn't exit within its grace period of ${failure.gracePeriod} ms`;
		}

		case 'failed-exit': {
			return `ended with ${failure.exit} after SIGTERM`;
		}

		case 'memory': {
			return `had ${formatMegabytes(failure.peak)} of resident memory, more than its ${formatMegabytes(failure.limit)}`;
		}
	}
};
