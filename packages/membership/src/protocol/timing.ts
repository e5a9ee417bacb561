import type {Milliseconds} from '@gentianlift/types';

/** Length of a protocol period, in which this host probes one other host. */
export const probeInterval: Milliseconds = 500;
/** Time to wait for the acknowledgement of a direct probe before indirect probes are sent. */
export const directProbeTimeout: Milliseconds = 200;
/** Number of hosts asked to probe a host that didn't acknowledge the direct probe. */
export const indirectProbeCount = 3;
/** Minimum time for which a host is suspected before it is declared gone. */
export const minSuspicionTimeout: Milliseconds = 2500;
/** Multiplier of the suspicion timeout while this host receives nothing, as it may itself be partitioned. */
export const isolationMultiplier = 6;
/** Time without any packet received after which this host may itself be partitioned. */
export const isolationTimeout: Milliseconds = 2000;
/** Maximum lateness of a period at which the previous probe still counts as failed; beyond it, the acknowledgement may have arrived but not been read yet. */
export const maxProbeLateness: Milliseconds = 50;
/** Lateness of a period above which this process counts as having been paused. */
export const pauseThreshold: Milliseconds = 700;
/** Interval of gossip messages, which are sent between probes while urgent facts are queued. */
export const gossipInterval: Milliseconds = 200;
/** Number of hosts that each round of gossip messages is sent to. */
export const gossipFanOut = 2;
/** Capacity of the token bucket that limits gossip messages, in messages. */
export const gossipBurst = 30;
/** Rate at which that token bucket refills, in messages per second. */
export const gossipPerSecond = 1;
/** Number of transmissions after which an urgent fact no longer causes gossip messages. */
export const urgentTransmissions = 8;
/** Interval of attempts to reach a host that is gone or an unknown seed, so that the parts of a partitioned fleet merge again. */
export const partitionHealInterval: Milliseconds = 4000;
/** Time for which the entry of a gone host is kept. */
export const goneRetention: Milliseconds = 7_200_000;
/** Interval between pages of the member table sent to one host. */
export const pageInterval: Milliseconds = 100;
/** Interval of requests for a full member table, and the minimum time between two of them. */
export const joinInterval: Milliseconds = 1000;
/** Interval of reads of the host list. */
export const hostListInterval: Milliseconds = 10_000;
/** Size up to which datagrams are filled with updates, in bytes, without UDP and IP headers. */
export const maxDatagramBytes = 1000;
/** Number of times one host transmits a full entry; a host that misses it requests it when it receives an update about that host. */
export const entryTransmissions = 4;
/** Number of table entries whose state is repeated in each packet, changed or not, so that lost updates are repaired (anti-entropy). */
export const antiEntropyUpdates = 8;

/** Returns the time from suspicion to gone. It grows with the logarithm of the number of hosts, as updates take longer to spread. */
export const getSuspicionTimeout = (presentCount: number): Milliseconds =>
	Math.round(minSuspicionTimeout * Math.max(1, Math.log10(Math.max(1, presentCount))));

/** Returns the number of times one host transmits a change, which grows with the logarithm of the number of hosts. */
export const getTransmissionLimit = (presentCount: number): number => 4 * Math.ceil(Math.log10(presentCount + 1));
