import type {Clock, Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {PacketSender, Target} from './packet-sender.js';
import {createPages} from './piggyback.js';
import {shuffle} from './probe-order.js';
import {
	gossipBurst, gossipFanOut, gossipInterval, gossipPerSecond, joinInterval, pageInterval, urgentTransmissions,
} from './timing.js';
import type {View} from './view.js';

/** Sends messages other than probes: gossip for urgent facts, and full member tables. */
export type Disseminator = {
	/** Sends gossip messages to a few random hosts if urgent facts are queued and the rate limit permits. */
	sendUrgentGossip: () => void;
	/** Sends queued facts to some random hosts regardless of the rate limit, just before this host stops. */
	sendFinalGossip: () => void;
	/** Sends the member table and the announcements in pages. */
	sendTable: (target: Target) => void;
	/** Requests the member table of a host, at most once per `joinInterval`. */
	requestTable: (target: Target) => void;
};

/** Number of hosts that are notified directly when this host stops. */
const finalFanOut = 8;
/** Maximum number of hosts that the table is sent to at the same time; further ones request it again, or from another host. */
const maxTableTransfers = 4;
const millisecondsPerSecond = 1000;

/** Creates a disseminator. */
export const createDisseminator = ({clock, random, view, packetSender}: {clock: Clock; random: Random; view: View; packetSender: PacketSender}): Disseminator => {
	let tokens = gossipBurst;
	let tableRequestedAt: Milliseconds = -joinInterval;
	const tableTransfers = new Set<string>();

	const getTargets = (count: number): Target[] => {
		const {host: self} = view.getSelf();
		const others = view.table.getPresentEntries().filter(({host}) => host !== self);
		return shuffle(others, random).slice(0, count);
	};

	const hasUrgentFact = (): boolean => [view.entryQueue, view.updateQueue, view.announcementQueue].some(queue => queue.hasUrgentFact(urgentTransmissions));

	return {
		sendUrgentGossip() {
			tokens = Math.min(gossipBurst, tokens + (gossipPerSecond * gossipInterval / millisecondsPerSecond));
			if (tokens < gossipFanOut || !hasUrgentFact()) {
				return;
			}

			for (const target of getTargets(gossipFanOut)) {
				tokens--;
				packetSender.send(target, {kind: 'gossip'});
			}
		},
		sendFinalGossip() {
			for (const target of getTargets(finalFanOut)) {
				packetSender.send(target, {kind: 'gossip'});
			}
		},
		sendTable(target) {
			if (tableTransfers.has(target.host) || tableTransfers.size >= maxTableTransfers) {
				return;
			}

			tableTransfers.add(target.host);
			const announcements = view.announcements.getKeys().map(key => view.announcements.get(key)).filter(announcement => announcement !== undefined);
			const pages = createPages(view.table.getPresentEntries(), announcements);
			for (const [index, page] of pages.entries()) {
				clock.after(index * pageInterval, () => {
					packetSender.send(target, {kind: 'page'}, page);
				});
			}

			clock.after(pages.length * pageInterval, () => {
				tableTransfers.delete(target.host);
			});
		},
		requestTable(target) {
			const now = clock.monotonic();
			if (now - tableRequestedAt < joinInterval) {
				return;
			}

			tableRequestedAt = now;
			packetSender.send(target, {kind: 'join'}, {
				updates: [], entries: [view.getSelf()], entryRequests: [], announcements: [],
			});
		},
	};
};
