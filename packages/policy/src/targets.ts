import type {
	Customer, HourlyTargets, Milliseconds, RequestClass, Targets, Work,
} from '@gentianlift/types';

const minutesPerHour = 60;

/** Time given to a request whose class has no target at that hour. */
export const untargetedDeadline: Milliseconds = 600_000;

const formats = new Map<string, Intl.DateTimeFormat>();

const getFormat = (timeZone: string): Intl.DateTimeFormat => {
	const known = formats.get(timeZone);
	if (known !== undefined) {
		return known;
	}

	const format = new Intl.DateTimeFormat('en-GB', {
		timeZone, hour: '2-digit', minute: '2-digit', hourCycle: 'h23',
	});
	formats.set(timeZone, format);
	return format;
};

const getMinutes = (time: string): number => {
	const [hours = '0', minutes = '0'] = time.split(':');
	return (Number(hours) * minutesPerHour) + Number(minutes);
};

/** Gets the minute of the day, on the clocks of the time zone, at a moment. */
export const getMinuteOfDay = (timeZone: string, at: Milliseconds): number => getMinutes(getFormat(timeZone).format(at));

const isWithin = (hours: HourlyTargets, minute: number): boolean => {
	const from = getMinutes(hours.from);
	const to = getMinutes(hours.to);
	return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
};

/** Gets the targets of a class at a moment, by the clocks of the customer's time zone; empty where none are in force. */
export const getTargetsAt = (requestClass: RequestClass, customer: Customer, at: Milliseconds): Targets => {
	const minute = getMinuteOfDay(customer.timeZone, at);
	return requestClass.hours.find(hours => isWithin(hours, minute))?.targets ?? {};
};

/** Gets the moment after which the answer misses its target: the first token's for a generation, the whole answer's for a call. */
export const getDeadline = (targets: Targets, work: Work, arrivedAt: Milliseconds): Milliseconds => {
	switch (work.kind) {
		case 'generation': {
			return arrivedAt + (targets.firstToken ?? targets.whole ?? untargetedDeadline);
		}

		case 'call': {
			return arrivedAt + (targets.whole ?? targets.firstToken ?? untargetedDeadline);
		}
	}
};
