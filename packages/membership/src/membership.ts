import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostList, Member, Note, NoteTopic, Settings,
} from '@gentianlift/types';
import {createNoteBoard, type NoteBoard, type NoteContent} from './protocol/note-board.js';
import {createOutbox} from './protocol/outbox.js';
import {createPeriod, type Period} from './protocol/period.js';
import {createProber} from './protocol/prober.js';
import {readList} from './protocol/read-list.js';
import {createReceiver, type Receiver} from './protocol/receiver.js';
import {createSearch, type Search} from './protocol/search.js';
import {createSpreader, type Spreader} from './protocol/spreader.js';
import {
	gossipInterval, healInterval, joinInterval, listInterval, probePeriod,
} from './protocol/timing.js';
import {createView, type MemberChange, type View} from './protocol/view.js';
import type {Transport} from './transport/transport.js';
import {createSeal} from './wire/seal.js';

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

/** Smallest change of the load that is told. */
const loadStep = 0.02;

type Parts = MembershipOptions & {view: View; period: Period; spreader: Spreader; search: Search; board: NoteBoard; receiver: Receiver};

const createParts = (options: MembershipOptions): Parts => {
	const {clock, metrics, self, transport, random, seeds} = options;
	const view = createView(clock, {
		...self, revision: 0, standing: 'alive', isDraining: false, beat: 0, configurationVersion: 0, load: 0,
	});
	const seal = createSeal(options.keys);
	const outbox = createOutbox({
		view, seal, transport, metrics,
	});
	const common = {
		clock, random, view, outbox,
	};
	const prober = createProber(common);
	const spreader = createSpreader(common);
	const board = createNoteBoard(view, self.host, self.incarnation);
	const receiver = createReceiver({
		view, seal, outbox, prober, metrics, board, spreader,
	});
	return {
		...options,
		view,
		spreader,
		board,
		receiver,
		period: createPeriod({
			clock, metrics, view, prober,
		}),
		search: createSearch({
			random, view, outbox, spreader, seeds,
		}),
	};
};

const startTimers = ({clock, period, spreader, search, hostList, view}: Parts): Cancel[] => {
	const {every} = clock;
	const read = (): void => {
		if (hostList !== undefined) {
			void readList(hostList, view, clock);
		}
	};

	period.reset();
	search.joinFleet();
	read();
	return [
		every(probePeriod, period.run),
		every(gossipInterval, spreader.sendUrgent),
		every(joinInterval, search.joinFleet),
		every(healInterval, search.heal),
		every(listInterval, read),
	];
};

/** Creates the membership of this host. */
export const createMembership = (options: MembershipOptions): Membership => {
	const parts = createParts(options);
	const {view, spreader, board, transport, receiver} = parts;
	let timers: Cancel[] = [];
	return {
		async start() {
			await transport.start(receiver.receive);
			timers = startTimers(parts);
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
			const isPublished = board.publish(content);
			spreader.sendUrgent();
			return isPublished;
		},
		onNote: board.onNote,
		getNotes: board.getByTopic,
	};
};
