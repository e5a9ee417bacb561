import type {Clock} from '@gentianlift/clock';
import type {Milliseconds, Note, NoteTopic} from '@gentianlift/types';

/** Notes that stand, the newest of each topic, key and host. */
export type NoteStore = {
	/** Stores a note; false when it is already known, out of date or more than the store holds. */
	add: (note: Note) => boolean;
	/** A note with the time it still stands, by the key of `getNoteKey`. */
	get: (key: string) => Note | undefined;
	getByTopic: (topic: NoteTopic) => Note[];
	getKeys: () => string[];
	/** Removes notes that have ended. */
	sweep: () => void;
};

type Held = {note: Note; endsAt: Milliseconds};

/** Notes held at once. */
const maxNotes = 2000;

/** Gets the key under which only the newest note stands. */
export const getNoteKey = ({topic, key, host}: Note): string => `${topic} ${key} ${host}`;

/** Creates an empty store. */
export const createNoteStore = (clock: Clock): NoteStore => {
	const notes = new Map<string, Held>();

	const getLeft = ({note, endsAt}: Held): Note | undefined => {
		const duration = Math.round(endsAt - clock.monotonic());
		return duration > 0 ? {...note, duration} : undefined;
	};

	return {
		add(note) {
			const key = getNoteKey(note);
			const known = notes.get(key);
			const isOld = known !== undefined && known.note.sequence >= note.sequence;
			const isFull = known === undefined && notes.size >= maxNotes;
			if (isOld || isFull || note.duration <= 0) {
				return false;
			}

			notes.set(key, {note, endsAt: clock.monotonic() + note.duration});
			return true;
		},
		get(key) {
			const held = notes.get(key);
			return held && getLeft(held);
		},
		getByTopic: topic => [...notes.values()]
			.map(held => getLeft(held))
			.filter(note => note?.topic === topic)
			.filter(note => note !== undefined),
		getKeys: () => [...notes.keys()],
		sweep() {
			for (const [key, held] of notes) {
				if (getLeft(held) === undefined) {
					notes.delete(key);
				}
			}
		},
	};
};
