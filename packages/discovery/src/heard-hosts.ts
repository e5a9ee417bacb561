import type {HostId, Incarnation, Milliseconds} from '@gentianlift/types';
import type {Note} from './note.js';

/** What is known of a host from its newest note. */
export type HeardHost = Pick<Note, 'incarnation' | 'sequence' | 'revision' | 'isStopping'> & {
	heardAt: Milliseconds;
	/** The incarnation before, whose late notes don't count. */
	superseded: Incarnation | undefined;
};

/** Hosts by what their notes say. */
export type HeardHosts = {
	/** Takes in a note; false if a newer one of the host was heard. */
	apply: (note: Note, now: Milliseconds) => boolean;
	get: (host: HostId) => HeardHost | undefined;
	getAll: () => HeardHost[];
};

/** Whether the note is older than what is known. Incarnations are compared for being the same only, as clocks step. */
const isOlder = (note: Note, known: HeardHost): boolean =>
	note.incarnation === known.incarnation ? note.sequence <= known.sequence : note.incarnation === known.superseded;

/** Creates an empty record of hosts. */
export const createHeardHosts = (): HeardHosts => {
	const heard = new Map<HostId, HeardHost>();
	return {
		apply(note, now) {
			const known = heard.get(note.host);
			if (known !== undefined && isOlder(note, known)) {
				return false;
			}

			const {
				incarnation, sequence, revision, isStopping,
			} = note;
			const superseded = known?.incarnation === incarnation ? known.superseded : known?.incarnation;
			heard.set(note.host, {
				incarnation, sequence, revision, isStopping, heardAt: now, superseded,
			});
			return true;
		},
		get: host => heard.get(host),
		getAll: () => [...heard.values()],
	};
};
