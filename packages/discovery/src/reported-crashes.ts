import type {Logger} from '@gentianlift/logger';
import type {CrashSuspects, SuspectedCrash} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {LoadReport} from './load-report.js';
import type {PendingChanges} from './pending-changes.js';

/** Takes what hosts say for and against suspects of crashes, and answers with what this host knows for them. */
export type ReportedCrashes = {
	/** Records what another host's report says; that stays true, however late the report comes. */
	apply: (report: Pick<LoadReport, 'host' | 'crashes' | 'goodEnds'>, now: Milliseconds) => void;
	/** Reports the last good end that this host has seen of a suspect, if any. */
	reportGoodEnd: (crash: SuspectedCrash, now: Milliseconds) => void;
};

/** Dependencies of the reported crashes. */
export type ReportedCrashesOptions = {
	logger: Logger;
	suspects: CrashSuspects;
	pending: Pick<PendingChanges, 'addGoodEnd'>;
	/** Called with each crash that is news to this host. */
	onCrash: (crash: SuspectedCrash) => void;
	/** Called after a change that is to be reported. */
	onPending: () => void;
};

/** Time within which hosts repeat a crash without regard to what they know of it. */
const crashRepeatTime: Milliseconds = 3000;

/** Creates it. */
export const createReportedCrashes = ({
	logger, suspects, pending, onCrash, onPending,
}: ReportedCrashesOptions): ReportedCrashes => {
	const reportGoodEnd = ({suspect}: SuspectedCrash, now: Milliseconds): void => {
		const goodEnd = suspects.takeGoodEndToTell(suspect, now);
		if (goodEnd !== undefined) {
			pending.addGoodEnd(goodEnd, now);
			onPending();
		}
	};

	return {
		reportGoodEnd,
		apply({host, crashes, goodEnds}, now) {
			for (const goodEnd of goodEnds) {
				if (suspects.applyGoodEnd(goodEnd, now)) {
					logger.info('suspect-cleared', {from: host, ...goodEnd});
				}
			}

			for (const crash of crashes) {
				const isNew = suspects.addCrash(crash, now);
				if (isNew) {
					logger.info('crash-told', {from: host, ...crash});
					onCrash(crash);
				}

				// A host that still repeats an old crash may have missed the good end that explains it.
				if (isNew || (crash.age > crashRepeatTime && !suspects.isBlocked(crash.suspect, now))) {
					reportGoodEnd(crash, now);
				}
			}
		},
	};
};
