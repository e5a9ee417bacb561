import type {Milliseconds} from '@gentianlift/types';

/** Time between two probes of a host. */
export const probePeriod: Milliseconds = 500;
/** Time for a direct answer before other hosts are asked to probe. */
export const directTimeout: Milliseconds = 200;
/** Hosts asked to probe in one's place. */
export const indirectProbes = 3;
/** Shortest time from suspicion to gone. */
export const suspicionTimeout: Milliseconds = 2500;
/** Factor on the suspicion timeout while this host hears from nobody, and so may itself be cut off. */
export const isolationFactor = 6;
/** Silence of all others after which this host may itself be cut off. */
export const isolationLimit: Milliseconds = 2000;
/** How late a period may start for the probe before it to be judged: an answer may be waiting unread. */
export const longestProbeLateness: Milliseconds = 50;
/** How late a period may start before this process counts as having been paused. */
export const longestLateness: Milliseconds = 700;
/** Time between extra messages while urgent facts are new. */
export const gossipInterval: Milliseconds = 200;
/** Hosts that get each extra message. */
export const gossipFanOut = 2;
/** Extra messages in one burst, and how many a second refill it. */
export const gossipBurst = 30;
export /**
 *
 */
const gossipPerSecond = 1;
/** Times that an urgent fact is sent by extra messages. */
export const urgentSends = 8;
/** Time between probes of hosts that are gone, seeds included, so that halves find each other again. */
export const healInterval: Milliseconds = 4000;
/** Time after which a host that is gone is forgotten. */
export const forgetAfter: Milliseconds = 7_200_000;
/** Time between pages of the table sent to a host that joins, and pages to one host at most. */
export const pageInterval: Milliseconds = 100;
/** Time between requests for the whole table. */
export const joinInterval: Milliseconds = 1000;
/** Time between reads of the host list. */
export const listInterval: Milliseconds = 10_000;
/** Largest datagram, in bytes. */
export const maxDatagram = 1000;
/** Times that a whole entry is passed on by one host; whoever misses it asks for it when it sees an update. */
export const entrySends = 4;
/** Table entries repeated in each message, whether new or not, so that lost news heals. */
export const repeatedUpdates = 8;

/** Gets the time from suspicion to gone, which grows with the number of hosts as news takes longer. */
export const getSuspicionTimeout = (present: number): Milliseconds =>
	Math.round(suspicionTimeout * Math.max(1, Math.log10(Math.max(1, present))));

/** Gets how often a change is passed on by one host. */
export const getSendLimit = (present: number): number => 4 * Math.ceil(Math.log10(present + 1));
