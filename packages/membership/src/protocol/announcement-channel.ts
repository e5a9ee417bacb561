import type {Cancel} from '@gentianlift/clock';
import type {
	HostId, Incarnation, Announcement, AnnouncementTopic,
} from '@gentianlift/types';
import {queueAnnouncement, type DisseminationState} from './piggyback.js';

/** Content of an announcement, without its origin and sequence number. */
export type AnnouncementContent = Pick<Announcement, 'topic' | 'key' | 'value' | 'duration'>;

/** Publishes announcements to all hosts, and receives those of others. */
export type AnnouncementChannel = {
	/** Publishes an announcement to all hosts; returns false when it is too long. */
	publish: (content: AnnouncementContent) => boolean;
	/** Stores announcements received from another host, and disseminates those that are new. */
	receive: (announcements: Announcement[]) => void;
	/** Calls the listener for each new announcement, those of this host included. */
	onAnnouncement: (listener: (announcement: Announcement) => void) => Cancel;
	getByTopic: (topic: AnnouncementTopic) => Announcement[];
};

/** Maximum length of key and value of an announcement together, in characters. */
const maxAnnouncementLength = 400;

/** Creates the channel of a host. Sequence numbers start at the incarnation, so that announcements of a later process of the host are newer. */
export const createAnnouncementChannel = (state: DisseminationState, self: HostId, incarnation: Incarnation): AnnouncementChannel => {
	const listeners = new Set<(announcement: Announcement) => void>();
	let sequence = incarnation;

	const add = (announcement: Announcement): void => {
		if (!state.announcements.add(announcement)) {
			return;
		}

		queueAnnouncement(state, announcement);
		for (const listener of listeners) {
			listener(announcement);
		}
	};

	return {
		publish(content) {
			if (content.key.length + content.value.length > maxAnnouncementLength) {
				return false;
			}

			sequence++;
			add({...content, host: self, sequence});
			return true;
		},
		receive(announcements) {
			for (const announcement of announcements) {
				add(announcement);
			}
		},
		onAnnouncement(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		getByTopic: state.announcements.getByTopic,
	};
};
