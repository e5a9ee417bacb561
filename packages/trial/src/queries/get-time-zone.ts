import type {Milliseconds} from '@gentianlift/types';

const millisecondsPerHour: Milliseconds = 3_600_000;
const hoursPerDay = 24;
const maxOffsetHours = 14;

/** Returns a time zone of fixed offset in which the given hour of the day is the current one. */
export const getTimeZone = (now: Milliseconds, wantedHour: number): string => {
	const utcHour = Math.floor(now / millisecondsPerHour) % hoursPerDay;
	const hoursAhead = (wantedHour - utcHour + hoursPerDay) % hoursPerDay;
	const offset = hoursAhead > maxOffsetHours ? hoursAhead - hoursPerDay : hoursAhead;
	// By POSIX convention `Etc/GMT-3` is three hours ahead of UTC.
	return offset === 0 ? 'Etc/GMT' : `Etc/GMT${offset > 0 ? '-' : '+'}${Math.abs(offset)}`;
};
