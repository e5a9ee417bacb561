import type {Clock, Random} from '@gentianlift/clock';
import type {RequestId} from '@gentianlift/types';
import type {HistoryEvent} from './history.js';

/** Booking as received by the application service. */
export type Booking = {booking: string; digest: string; request: RequestId};

/** Answer of the application service. */
export type UpstreamAnswer = {kind: 'finished'; body: string} | {kind: 'refused'};

/** Fake application service without deduplication: it executes every call that it doesn't refuse, and records each execution. */
export type Upstream = {run: (booking: Booking) => Promise<UpstreamAnswer>};

const refusalProbability = 0.1;
const maxRunTimeMs = 400;

/** Creates a fake application service. */
export const createUpstream = (clock: Clock, random: Random, events: HistoryEvent[]): Upstream => {
	let runs = 0;
	return {
		async run(booking) {
			if (random.next() < refusalProbability) {
				return {kind: 'refused'};
			}

			runs++;
			const body = `run ${runs} of ${booking.booking}`;
			events.push({
				kind: 'ran', at: clock.now(), ...booking, body,
			});
			await clock.sleep(random.below(maxRunTimeMs));
			return {kind: 'finished', body};
		},
	};
};
