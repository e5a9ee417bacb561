import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostList, Member, Note, NoteTopic, Settings,
} from '@gentianlift/types';
import {createOutbox, type Target} from './protocol/outbox.js';
import {createProber} from './protocol/prober.js';
import {createReceiver} from './protocol/receiver.js';
import {createSpreader} from './protocol/spreader.js';
import {spreadNote} from './protocol/packing.js';
import {
	forgetAfter, gossipInterval, healInterval, joinInterval, listInterval, longestLateness, probePeriod,
} from './protocol/timing.js';
import {createView, type MemberChange} from './protocol/view.js';
import type {Transport} from './transport/transport.js';
import {createSeal} from './wire/seal.js';

/** What a note says, without who says it. */
export type NoteContent = Pick<Note, 'topic' | 'key' | 'value' | 'duration'>;

/** The hosts of the fleet as this one sees them. */
export type Membership = {
	/** Starts to receive and looks for the other hosts; resolves once it listens. */
	start: () => Promise<void>;
	/** Tells the others that this host is gone, and stops. */
	stop: () => void;
	/** All known hosts, this one included. */
	getMembers: () => Member[];
	/** Calls back for each member that is new or changes in more than its load. */
	onChange: (listener: (change: MemberChange) => void) => Cancel;
	setDraining: (isDraining: boolean) => void;
	setConfigurationVersion: (version: number) => void;
	/** How full this host is, from 0 to 1. */
	setLoad: (load: number) => void;
	/** Tells all hosts a fact; false when it is too long. */
	publishNote: (content: NoteContent) => boolean;
	/** Calls back for each new note, those of this host included. */
	onNote: (listener: (note: Note) => void) => Cancel;
	getNotes: (topic: NoteTopic) => Note[];
};

/** What a membership needs. */
export type MembershipOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: Pick<Member, 'host' | 'incarnation' | 'zone' | 'callerAddress' | 'peerAddress' | 'gossipAddress'>;
	seeds: Settings['seeds'];
	/** Keys that authenticate messages: the first signs, any is accepted. */
	keys: string[];
	transport: Transport;
	hostList?: HostList;
};

/** Longest key and value of a note together, in characters. */
const maxNoteLength = 400;
/** Smallest change of the load that is told. */
const loadStep = 0.02;

/** Creates the membership of this host. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {clock, random, metrics, transport, hostList} = options;
	const view = createView(clock, {
		...options.self, revision: 0, standing: 'alive', isDraining: false, beat: 0, configurationVersion: 0, load: 0,
	});
	const seal = createSeal(options.keys);
	const outbox = createOutbox({
		view, seal, transport, metrics,
	});
	const parts = {
		clock, random, view, outbox,
	};
	const prober = createProber(parts);
	const spreader = createSpreader(parts);
	const noteListeners = new Set<(note: Note) => void>();
	const timers: Cancel[] = [];
	let noteSequence = options.self.incarnation;
	let periodAt = clock.monotonic();

	const onNote = (note: Note): void => {
		for (const listener of noteListeners) {
			listener(note);
		}
	};

	const receiver = createReceiver({
		view, seal, outbox, prober, metrics, onNote, sendTable: spreader.sendTable, askTable: spreader.askTable,
	});

	const forgetOld = (): void => {
		const now = clock.monotonic();
		for (const {host} of view.table.getAll()) {
			const since = view.getGoneSince(host);
			if (since !== undefined && now - since > forgetAfter) {
				view.forget(host);
			}
		}
	};

	const startPeriod = (): void => {
		const now = clock.monotonic();
		const lateness = now - periodAt - probePeriod;
		periodAt = now;
		if (lateness > longestLateness) {
			metrics.count('membership_pauses');
			prober.dropProbe();
			view.suspicions.postpone(lateness + (2 * probePeriod));
		}

		prober.sweep();
		prober.startPeriod();
		view.notes.sweep();
		forgetOld();
	};

	const getAbsent = (): Target[] => {
		const gone = view.table.getAll().filter(({standing}) => standing === 'gone');
		const unknown = options.seeds.filter(({host}) => view.table.get(host) === undefined && host !== options.self.host);
		return [...gone, ...unknown];
	};

	const lookForOthers = (): void => {
		const target = random.pick(getAbsent());
		if (target !== undefined && view.table.getPresent().length === 1) {
			spreader.askTable(target);
		}
	};

	const heal = (): void => {
		const target = random.pick(getAbsent());
		if (target === undefined) {
			return;
		}

		if (view.table.get(target.host) === undefined) {
			spreader.askTable(target);
		} else {
			outbox.send(target, {kind: 'ping'});
		}
	};

	const readList = async (): Promise<void> => {
		const list = await hostList?.readHosts();
		if (list === undefined) {
			return;
		}

		view.refreshListed(() => {
			view.listed.update(list, clock.now(), host => view.table.get(host)?.incarnation);
		});
		for (const {host} of view.table.getAll().filter(entry => view.listed.isMissing(entry.host))) {
			view.suspicions.shorten(host, probePeriod);
		}
	};

	return {
		async start() {
			await transport.start(receiver.receive);
			periodAt = clock.monotonic();
			const {every} = clock;
			timers.push(
				every(probePeriod, startPeriod),
				every(gossipInterval, spreader.sendUrgent),
				every(joinInterval, lookForOthers),
				every(healInterval, heal),
				every(listInterval, () => {
					void readList();
				}),
			);
			lookForOthers();
			void readList();
		},
		stop() {
			for (const cancel of timers.splice(0)) {
				cancel();
			}

			view.setSelf({standing: 'gone'}, true);
			spreader.sendLast();
			transport.stop();
		},
		getMembers: view.getMembers,
		onChange: view.onChange,
		setDraining(isDraining) {
			view.setSelf({isDraining}, true);
		},
		setConfigurationVersion(configurationVersion) {
			view.setSelf({configurationVersion}, false);
			spreader.sendUrgent();
		},
		setLoad(load) {
			const bounded = Math.min(1, Math.max(0, load));
			if (Math.abs(bounded - view.getSelf().load) >= loadStep) {
				view.setSelf({load: bounded}, false);
			}
		},
		publishNote(content) {
			if (content.key.length + content.value.length > maxNoteLength) {
				return false;
			}

			noteSequence++;
			const note: Note = {...content, host: options.self.host, sequence: noteSequence};
			view.notes.add(note);
			spreadNote(view, note);
			spreader.sendUrgent();
			onNote(note);
			return true;
		},
		onNote(listener) {
			noteListeners.add(listener);
			return () => {
				noteListeners.delete(listener);
			};
		},
		getNotes: view.notes.getByTopic,
	};
};
