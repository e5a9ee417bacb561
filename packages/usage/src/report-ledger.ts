import type {Logger} from '@gentianlift/logger';
import type {Entry, KeyValueService} from '@gentianlift/types';
import {
	encodeRecord, parseRecord, reportRecordKey, type ReportRecord,
} from './report-record.js';

/** The record as it is known to stand in the store; `unreadable` if another version has written it. */
export type KnownRecord
	= | {kind: 'known'; record: ReportRecord | undefined; revision: number}
		| {kind: 'unreadable'}
		| {kind: 'unknown'};

/** The reports in the store, as their only writer sees them. */
export type ReportLedger = {
	/** Returns what stands in the store, as far as that is known; a write whose outcome isn't known makes it unknown. */
	get: () => KnownRecord;
	/** Writes a record in place of the known one; returns whether it stands there now. */
	write: (record: ReportRecord) => Promise<boolean>;
	/** Forgets what is known, as another host may write. */
	forget: () => void;
};

/** Options of a ledger. */
export type ReportLedgerOptions = {
	store: Pick<KeyValueService, 'compareAndSwap'>;
	/** Returns the entry of a key as the change feed has shown it. */
	getEntry: (key: string) => Entry | undefined;
	/** Returns the revision of the store up to which the feed has shown its changes; 0 before the first. */
	getRevision: () => number;
	logger: Logger;
};

/**
Creates a ledger that knows nothing.

What the feed shows may be old, which costs nothing but a rejected write: a write is made on condition that the entry
still has the known revision, and a report that stands in an old entry was never fixed otherwise. After a write whose
outcome is unknown, the same revision is expected again, so that only one of the writes takes effect.
*/
export const createReportLedger = ({
	store, getEntry, getRevision, logger,
}: ReportLedgerOptions): ReportLedger => {
	let known: KnownRecord = {kind: 'unknown'};
	/** Revision that the feed must have reached for its entry to be newer than what a write has shown. */
	let minRevision = 1;
	let isReported = false;

	const read = (): KnownRecord => {
		if (getRevision() < minRevision) {
			return {kind: 'unknown'};
		}

		const entry = getEntry(reportRecordKey);
		const revision = entry?.revision ?? 0;
		const record = entry === undefined ? undefined : parseRecord(entry.value);
		if (entry !== undefined && record === undefined) {
			if (!isReported) {
				isReported = true;
				logger.error('usage-record-unreadable', {key: reportRecordKey, revision, length: entry.value.length});
			}

			return {kind: 'unreadable'};
		}

		return {kind: 'known', record, revision};
	};

	return {
		get() {
			if (known.kind !== 'known') {
				known = read();
			}

			return known;
		},
		async write(record) {
			if (known.kind !== 'known') {
				return false;
			}

			const expected = known.revision;
			known = {kind: 'unknown'};
			const outcome = await store.compareAndSwap({key: reportRecordKey, value: encodeRecord(record), expected});
			switch (outcome.kind) {
				case 'applied': {
					known = {kind: 'known', record, revision: outcome.revision};
					minRevision = outcome.revision;
					return true;
				}

				case 'rejected': {
					minRevision = Math.max(minRevision, outcome.revision);
					break;
				}

				case 'unavailable':
				case 'unknown': {
					break;
				}
			}

			logger.warn('usage-not-fixed', {
				last: record.last, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : `revision ${outcome.revision}`, expected,
			});
			return false;
		},
		forget() {
			known = {kind: 'unknown'};
		},
	};
};
