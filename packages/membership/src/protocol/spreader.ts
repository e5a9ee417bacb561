import type {Clock, Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {Outbox, Target} from './outbox.js';
import {getPages} from './packing.js';
import {shuffle} from './probes.js';
import {
	gossipBurst, gossipFanOut, gossipInterval, gossipPerSecond, joinInterval, pageInterval, urgentSends,
} from './timing.js';
import type {View} from './view.js';

/** Sends messages beside the probes: extra ones for urgent news, and whole tables. */
export type Spreader = {
	/** Sends urgent news to a few hosts, within the rate of extra messages. */
	sendUrgent: () => void;
	/** Sends all news to some hosts at once, as the last act before a stop. */
	sendLast: () => void;
	sendTable: (target: Target) => void;
	askTable: (target: Target) => void;
};

/** Hosts that are told of a stop directly. */
const lastFanOut = 8;
/** Hosts that get the whole table at once; others ask again, or someone else. */
const maxReceiving = 4;
const millisecondsPerSecond = 1000;

/** Creates a spreader. */
export const createSpreader = ({clock, random, view, outbox}: {clock: Clock; random: Random; view: View; outbox: Outbox}): Spreader => {
	let credit = gossipBurst;
	let askedAt: Milliseconds = -joinInterval;
	const receiving = new Set<string>();

	const getTargets = (count: number): Target[] => {
		const {host: self} = view.getSelf();
		const others = view.table.getPresent().filter(({host}) => host !== self);
		return shuffle(others, random).slice(0, count);
	};

	const hasUrgent = (): boolean => [view.entryRumours, view.updateRumours, view.noteRumours].some(rumours => rumours.hasUrgent(urgentSends));

	return {
		sendUrgent() {
			credit = Math.min(gossipBurst, credit + (gossipPerSecond * gossipInterval / millisecondsPerSecond));
			if (credit < gossipFanOut || !hasUrgent()) {
				return;
			}

			for (const target of getTargets(gossipFanOut)) {
				credit--;
				outbox.send(target, {kind: 'gossip'});
			}
		},
		sendLast() {
			for (const target of getTargets(lastFanOut)) {
				outbox.send(target, {kind: 'gossip'});
			}
		},
		sendTable(target) {
			if (receiving.has(target.host) || receiving.size >= maxReceiving) {
				return;
			}

			receiving.add(target.host);
			const notes = view.notes.getKeys().map(key => view.notes.get(key)).filter(note => note !== undefined);
			const pages = getPages(view.table.getPresent(), notes);
			for (const [index, page] of pages.entries()) {
				clock.after(index * pageInterval, () => {
					outbox.send(target, {kind: 'page'}, page);
				});
			}

			clock.after(pages.length * pageInterval, () => {
				receiving.delete(target.host);
			});
		},
		askTable(target) {
			const now = clock.monotonic();
			if (now - askedAt < joinInterval) {
				return;
			}

			askedAt = now;
			outbox.send(target, {kind: 'join'}, {
				updates: [], entries: [view.getSelf()], wants: [], notes: [],
			});
		},
	};
};
