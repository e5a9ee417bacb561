import type {
	Customer, HourlyTargets, Milliseconds, RequestClass, Targets, Work,
} from '@gentianlift/types';

const minutesPerHour = 60;

/** Time limit of a request whose class has no target at that time of day. */
export const defaultTimeLimit: Milliseconds = 600_000;

const formatterCache = new Map<string, Intl.DateTimeFormat>();

const getFormatter = (timeZone: string): Intl.DateTimeFormat => {
	const cached = formatterCache.get(timeZone);
	if (cached !== undefined) {
		return cached;
	}

	const formatter = new Intl.DateTimeFormat('en-GB', {
		timeZone, hour: '2-digit', minute: '2-digit', hourCycle: 'h23',
	});
	formatterCache.set(timeZone, formatter);
	return formatter;
};

const parseMinutes = (time: string): number => {
	const [hours = '0', minutes = '0'] = time.split(':');
	return (Number(hours) * minutesPerHour) + Number(minutes);
};

/** Returns the minute of the day in a time zone. */
export const getMinuteOfDay = (timeZone: string, at: Milliseconds): number => parseMinutes(getFormatter(timeZone).format(at));

const isWithinHours = (hours: HourlyTargets, minute: number): boolean => {
	const from = parseMinutes(hours.from);
	const to = parseMinutes(hours.to);
	return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
};

/** Returns the targets of a class by the time of day in the customer's time zone; empty if none apply. */
export const getTargetsAt = (requestClass: RequestClass, customer: Customer, at: Milliseconds): Targets => {
	const minute = getMinuteOfDay(customer.timeZone, at);
	return requestClass.hours.find(hours => isWithinHours(hours, minute))?.targets ?? {};
};

/** Returns when a request misses its target: for the first token of a generation, for the whole answer of a call. */
export const getDeadline = (targets: Targets, work: Work, arrivedAt: Milliseconds): Milliseconds => {
	switch (work.kind) {
		case 'generation': {
			return arrivedAt + (targets.firstToken ?? targets.whole ?? defaultTimeLimit);
		}

		case 'call': {
			return arrivedAt + (targets.whole ?? targets.firstToken ?? defaultTimeLimit);
		}
	}
};
