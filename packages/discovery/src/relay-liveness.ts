import {dropOldest, setLast} from '@gentianlift/routing';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** Detects relays that have stopped sending datagrams. */
export type RelayLiveness = {
	/** Records that this host relies on the relay from now on, so that datagrams are expected from it. */
	expectReports: (host: HostId, now: Milliseconds) => void;
	/** Records a datagram that the host itself has sent. */
	markHeard: (host: HostId, now: Milliseconds) => void;
	/** Returns whether the relay has failed to send anything, and should be avoided for now. */
	isSilent: (host: HostId, now: Milliseconds) => boolean;
	/** Returns whether the host itself has sent a datagram recently; reports of it that others forward don't count. */
	isHeard: (host: HostId, now: Milliseconds) => boolean;
};

/** Time without a datagram after which a relay is silent: two intervals of full load reports, and a margin. */
const silenceTimeout: Milliseconds = 1100;
/** Time without a datagram after which a silent relay is tried again. */
const avoidancePeriod: Milliseconds = 6000;

/** Number of hosts that are remembered; those that were heard or expected longest ago are forgotten first. */
const maxHosts = 2000;

/** Creates a detector that expects no relay yet. */
export const createRelayLiveness = (): RelayLiveness => {
	const expectedSince = new Map<HostId, Milliseconds>();
	const lastHeardAt = new Map<HostId, Milliseconds>();
	const getSilence = (host: HostId, now: Milliseconds): Milliseconds =>
		now - Math.max(expectedSince.get(host) ?? now, lastHeardAt.get(host) ?? Number.NEGATIVE_INFINITY);
	return {
		expectReports(host, now) {
			if (!expectedSince.has(host) || getSilence(host, now) > avoidancePeriod) {
				setLast(expectedSince, host, now);
				dropOldest(expectedSince, maxHosts);
			}
		},
		markHeard(host, now) {
			setLast(lastHeardAt, host, now);
			dropOldest(lastHeardAt, maxHosts);
		},
		isSilent(host, now) {
			const silence = getSilence(host, now);
			return silence > silenceTimeout && silence <= avoidancePeriod;
		},
		isHeard: (host, now) => now - (lastHeardAt.get(host) ?? Number.NEGATIVE_INFINITY) <= silenceTimeout,
	};
};
