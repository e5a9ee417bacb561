import type {Cancel} from '@gentianlift/clock';
import type {
	HostId, Incarnation, Note, NoteTopic,
} from '@gentianlift/types';
import {spreadNote, type Knowledge} from './packing.js';

/** What a note says, without who says it. */
export type NoteContent = Pick<Note, 'topic' | 'key' | 'value' | 'duration'>;

/** Notes of this host and of others. */
export type NoteBoard = {
	/** Tells all hosts a fact; false when it is too long. */
	publish: (content: NoteContent) => boolean;
	/** Takes in notes of another host. */
	receive: (notes: Note[]) => void;
	/** Calls back for each new note, those of this host included. */
	onNote: (listener: (note: Note) => void) => Cancel;
	getByTopic: (topic: NoteTopic) => Note[];
};

/** Longest key and value of a note together, in characters. */
const maxNoteLength = 400;

/** Creates the board of a host. Its notes are numbered from its incarnation, so that those of a later process are newer. */
export const createNoteBoard = (knowledge: Knowledge, self: HostId, incarnation: Incarnation): NoteBoard => {
	const listeners = new Set<(note: Note) => void>();
	let sequence = incarnation;

	const add = (note: Note): void => {
		if (!knowledge.notes.add(note)) {
			return;
		}

		spreadNote(knowledge, note);
		for (const listener of listeners) {
			listener(note);
		}
	};

	return {
		publish(content) {
			if (content.key.length + content.value.length > maxNoteLength) {
				return false;
			}

			sequence++;
			add({...content, host: self, sequence});
			return true;
		},
		receive(notes) {
			for (const note of notes) {
				add(note);
			}
		},
		onNote(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		getByTopic: knowledge.notes.getByTopic,
	};
};
