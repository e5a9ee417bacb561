import type {Milliseconds} from '@gentianlift/types';

const hour: Milliseconds = 3_600_000;
const hoursPerDay = 24;
const farthestEast = 14;

/** Gets a time zone of fixed offset in which it is now `wanted` o'clock. */
export const getTimeZone = (now: Milliseconds, wanted: number): string => {
	const utc = Math.floor(now / hour) % hoursPerDay;
	const ahead = (wanted - utc + hoursPerDay) % hoursPerDay;
	const offset = ahead > farthestEast ? ahead - hoursPerDay : ahead;
	// The sign of these names is the reverse of the offset's.
	return offset === 0 ? 'Etc/GMT' : `Etc/GMT${offset > 0 ? '-' : '+'}${Math.abs(offset)}`;
};
