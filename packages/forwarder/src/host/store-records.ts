import type {RecordClass} from '@gentianlift/discovery';
import {dutyPrefix, parseDutyRecord} from '@gentianlift/duties';
import type {Entry} from '@gentianlift/types';
import {reportRecordKey} from '@gentianlift/usage';

/** Says whether an entry of the store is one that duties or usage reports read by its key. Their readers know one that is unreadable from one that isn't there. */
export const classifyRecord = (entry: Entry): RecordClass => {
	if (entry.key === reportRecordKey) {
		return 'readable';
	}

	if (!entry.key.startsWith(dutyPrefix)) {
		return 'none';
	}

	return parseDutyRecord(entry) === undefined ? 'unreadable' : 'readable';
};
