import {
	parseRecordFields, type Entry, type HostId, type Incarnation,
} from '@gentianlift/types';
import type {DutySubject} from './duty.js';

/** Prefix of the keys of the entries that name the holders of duties. */
export const dutyPrefix = 'gentianlift/duties/';

/** Names a subject: in the key of its holder's entry, and in logs. */
export const getSubjectName = (subject: DutySubject): string => {
	switch (subject.duty) {
		case 'usage': {
			return subject.duty;
		}

		case 'scaling': {
			return [subject.duty, encodeURIComponent(subject.service), encodeURIComponent(subject.zone)].join('/');
		}
	}
};

/** Returns the key of the entry that names the holder of a subject. */
export const getDutyKey = (subject: DutySubject): string => dutyPrefix + getSubjectName(subject);

/** Returns the key by which the candidates of a subject are chosen: the same for all availability zones of a service, so that one host mostly holds them all. */
export const getCandidateKey = (subject: DutySubject): string => {
	switch (subject.duty) {
		case 'usage': {
			return getDutyKey(subject);
		}

		case 'scaling': {
			return `${dutyPrefix}${subject.duty}/${encodeURIComponent(subject.service)}`;
		}
	}
};

/** The value of a holder's entry. The lease tells two processes of a host apart, and two terms of a process. */
export type DutyRecord = {host: HostId; incarnation: Incarnation; lease: string};

const recordFields: ReadonlySet<string> = new Set(['host', 'incarnation', 'lease'] satisfies Array<keyof DutyRecord>);

/** Parses the value of a holder's entry; undefined if it is malformed. */
export const parseDutyRecord = ({value}: Pick<Entry, 'value'>): DutyRecord | undefined => {
	const record = parseRecordFields(value, recordFields);
	const {host, incarnation, lease} = record ?? {};
	return typeof host === 'string' && typeof incarnation === 'number' && typeof lease === 'string' ? {host, incarnation, lease} : undefined;
};
