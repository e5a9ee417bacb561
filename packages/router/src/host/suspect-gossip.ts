import type {Cancel, Clock} from '@gentianlift/clock';
import type {Membership} from '@gentianlift/membership';
import type {Suspect} from '@gentianlift/policy';
import type {GroupOwner} from '@gentianlift/scheduler';
import type {HostId, Milliseconds, Announcement} from '@gentianlift/types';

/** Dependencies of the exchange of suspects. */
export type SuspectGossipOptions = {
	clock: Clock;
	self: HostId;
	membership: Pick<Membership, 'onAnnouncement' | 'publishAnnouncement'>;
	groupOwner: Pick<GroupOwner, 'mergeSuspects' | 'getSuspects'>;
};

const publishInterval: Milliseconds = 500;
const crashSeparator = ',';

const getSuspect = ({key, value, duration}: Announcement, now: Milliseconds): Suspect =>
	({fingerprint: key, crashes: value.split(crashSeparator), expiresAt: now + duration});

/**
Publishes requests that are suspected of crashing upstreams to all hosts, so that the next owner of a group knows them.

A cleared suspect isn't withdrawn: on other hosts it stays a suspect until it expires. There it runs once more with no other suspect beside it, and is cleared again.
*/
export const startSuspectGossip = ({clock, self, membership, groupOwner}: SuspectGossipOptions): Cancel => {
	const {every} = clock;
	const knownCrashCounts = new Map<string, number>();

	const publish = ({fingerprint, crashes, expiresAt}: Suspect): void => {
		knownCrashCounts.set(fingerprint, crashes.length);
		membership.publishAnnouncement({
			topic: 'suspect-request', key: fingerprint, value: crashes.join(crashSeparator), duration: expiresAt - clock.now(),
		});
	};

	const cancelTimer = every(publishInterval, () => {
		const suspects = groupOwner.getSuspects();
		for (const suspect of suspects.values()) {
			if (suspect.crashes.length > (knownCrashCounts.get(suspect.fingerprint) ?? 0) && suspect.expiresAt > clock.now()) {
				publish(suspect);
			}
		}

		for (const fingerprint of knownCrashCounts.keys()) {
			if (!suspects.has(fingerprint)) {
				knownCrashCounts.delete(fingerprint);
			}
		}
	});
	const cancelListener = membership.onAnnouncement(announcement => {
		if (announcement.topic === 'suspect-request' && announcement.host !== self && announcement.value !== '') {
			knownCrashCounts.set(announcement.key, announcement.value.split(crashSeparator).length);
			groupOwner.mergeSuspects(new Map([[announcement.key, getSuspect(announcement, clock.now())]]));
		}
	});
	return () => {
		cancelTimer();
		cancelListener();
	};
};
