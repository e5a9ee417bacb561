import type {Clock} from '@gentianlift/clock';
import type {Milliseconds, Announcement, AnnouncementTopic} from '@gentianlift/types';

/** Unexpired announcements; only the newest for each topic, key and host is stored. */
export type AnnouncementStore = {
	/** Stores an announcement; returns false when it is already known, outdated, expired or the store is full. */
	add: (announcement: Announcement) => boolean;
	/** Returns an announcement with its remaining duration, by the key from `getAnnouncementKey`; undefined once expired. */
	get: (key: string) => Announcement | undefined;
	getByTopic: (topic: AnnouncementTopic) => Announcement[];
	getKeys: () => string[];
	/** Removes expired announcements. */
	removeExpired: () => void;
};

type StoredAnnouncement = {announcement: Announcement; expiresAt: Milliseconds};

/** Maximum number of announcements stored at once. */
const maxAnnouncements = 2000;

/** Returns the key under which only the newest announcement is stored. */
export const getAnnouncementKey = ({topic, key, host}: Announcement): string => `${topic} ${key} ${host}`;

/** Creates an empty store. */
export const createAnnouncementStore = (clock: Clock): AnnouncementStore => {
	const announcements = new Map<string, StoredAnnouncement>();

	const getUnexpired = ({announcement, expiresAt}: StoredAnnouncement): Announcement | undefined => {
		const duration = Math.round(expiresAt - clock.monotonic());
		return duration > 0 ? {...announcement, duration} : undefined;
	};

	return {
		add(announcement) {
			const key = getAnnouncementKey(announcement);
			const known = announcements.get(key);
			const isOutdated = known !== undefined && known.announcement.sequence >= announcement.sequence;
			const isFull = known === undefined && announcements.size >= maxAnnouncements;
			if (isOutdated || isFull || announcement.duration <= 0) {
				return false;
			}

			announcements.set(key, {announcement, expiresAt: clock.monotonic() + announcement.duration});
			return true;
		},
		get(key) {
			const stored = announcements.get(key);
			return stored && getUnexpired(stored);
		},
		getByTopic: topic => [...announcements.values()]
			.map(stored => getUnexpired(stored))
			.filter(announcement => announcement?.topic === topic)
			.filter(announcement => announcement !== undefined),
		getKeys: () => [...announcements.keys()],
		removeExpired() {
			for (const [key, stored] of announcements) {
				if (getUnexpired(stored) === undefined) {
					announcements.delete(key);
				}
			}
		},
	};
};
