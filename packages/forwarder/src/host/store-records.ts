import type {RecordClass} from '@gentianlift/discovery';
import {dutyPrefix, parseDutyRecord} from '@gentianlift/duties';
import type {Entry} from '@gentianlift/types';
import {parseReportRecord, reportRecordKey} from '@gentianlift/usage';

/** Longest value of a duty's entry, in characters; what hosts write is shorter. */
const maxDutyLength = 1024;

const isDutyReadable = (entry: Entry): boolean => entry.value.length <= maxDutyLength && parseDutyRecord(entry) !== undefined;

/** Says whether an entry of the store is one that duties or usage reports read by its key. Their readers know one that is unreadable from one that isn't there. */
export const classifyRecord = (entry: Entry): RecordClass => {
	if (entry.key === reportRecordKey) {
		return parseReportRecord(entry.value) === undefined ? 'unreadable' : 'readable';
	}

	if (!entry.key.startsWith(dutyPrefix)) {
		return 'none';
	}

	return isDutyReadable(entry) ? 'readable' : 'unreadable';
};
