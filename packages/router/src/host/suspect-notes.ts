import type {Cancel, Clock} from '@gentianlift/clock';
import type {Membership} from '@gentianlift/membership';
import type {Suspect} from '@gentianlift/policy';
import type {GroupOwner} from '@gentianlift/scheduler';
import type {HostId, Milliseconds, Note} from '@gentianlift/types';

/** What passing suspects on takes. */
export type SuspectNotesOptions = {
	clock: Clock;
	self: HostId;
	membership: Pick<Membership, 'onNote' | 'publishNote'>;
	groupOwner: Pick<GroupOwner, 'applySuspects' | 'getSuspects'>;
};

const interval: Milliseconds = 500;
const separator = ',';

const getSuspect = ({key, value, duration}: Note, now: Milliseconds): Suspect =>
	({fingerprint: key, crashes: value.split(separator), expiresAt: now + duration});

/**
Passes suspects of crashes on to all hosts, so that the next owner of a group knows them.

A suspect that was cleared stays with the others as a suspect until it expires: there it runs alone among suspects once more, and is cleared again.
*/
export const startSuspectNotes = ({clock, self, membership, groupOwner}: SuspectNotesOptions): Cancel => {
	const {every} = clock;
	const told = new Map<string, number>();

	const tell = ({fingerprint, crashes, expiresAt}: Suspect): void => {
		told.set(fingerprint, crashes.length);
		membership.publishNote({
			topic: 'suspect-request', key: fingerprint, value: crashes.join(separator), duration: expiresAt - clock.now(),
		});
	};

	const cancelTimer = every(interval, () => {
		const suspects = groupOwner.getSuspects();
		for (const suspect of suspects.values()) {
			if (suspect.crashes.length > (told.get(suspect.fingerprint) ?? 0) && suspect.expiresAt > clock.now()) {
				tell(suspect);
			}
		}

		for (const fingerprint of told.keys()) {
			if (!suspects.has(fingerprint)) {
				told.delete(fingerprint);
			}
		}
	});
	const cancelNotes = membership.onNote(note => {
		if (note.topic === 'suspect-request' && note.host !== self && note.value !== '') {
			told.set(note.key, note.value.split(separator).length);
			groupOwner.applySuspects(new Map([[note.key, getSuspect(note, clock.now())]]));
		}
	});
	return () => {
		cancelTimer();
		cancelNotes();
	};
};
