import type {Clock, Random} from '@gentianlift/clock';
import type {RequestId} from '@gentianlift/types';
import type {HistoryEvent} from './history.js';

/** A booking as it reaches the application service. */
export type Booking = {booking: string; digest: string; request: RequestId};

/** What the application service answers. */
export type UpstreamAnswer = {kind: 'finished'; body: string} | {kind: 'refused'};

/** An application service that carries out whatever reaches it, and notes it. */
export type Upstream = {run: (booking: Booking) => Promise<UpstreamAnswer>};

const refusalChance = 0.1;
const longestRun = 400;

/** Creates an application service. */
export const createUpstream = (clock: Clock, random: Random, events: HistoryEvent[]): Upstream => {
	let runs = 0;
	return {
		async run(booking) {
			if (random.next() < refusalChance) {
				return {kind: 'refused'};
			}

			runs++;
			const body = `run ${runs} of ${booking.booking}`;
			events.push({
				kind: 'ran', at: clock.now(), ...booking, body,
			});
			await clock.sleep(random.below(longestRun));
			return {kind: 'finished', body};
		},
	};
};
