import type {Metrics} from '@gentianlift/metrics';
import type {HostId} from '@gentianlift/types';
import {decodePacket} from '../wire/codec.js';
import type {Packet} from '../wire/packet.js';
import {createReplayWindow} from '../wire/replay-window.js';
import type {Seal} from '../wire/seal.js';
import type {NoteBoard} from './note-board.js';
import {getPages} from './packing.js';
import type {Outbox, Target} from './outbox.js';
import type {Prober} from './prober.js';
import type {Spreader} from './spreader.js';
import type {View} from './view.js';

/** What the receiver works on. */
export type ReceiverContext = {
	view: View;
	seal: Seal;
	outbox: Outbox;
	prober: Prober;
	metrics: Metrics;
	board: NoteBoard;
	spreader: Spreader;
};

/** Receives datagrams. */
export type Receiver = {receive: (datagram: Uint8Array) => void};

/** Share by which a host must know more hosts before its table is asked for. */
const largerShare = 1.1;

/** Bytes that UDP and IP add to a datagram. */
const datagramOverhead = 28;

type DropReason = 'signature' | 'malformed' | 'misdirected' | 'replayed';

/** Creates a receiver. A datagram that isn't signed, whole, for this host and new is counted and dropped. */
export const createReceiver = (context: ReceiverContext): Receiver => {
	const {view, seal, outbox, prober, metrics, board, spreader} = context;
	const window = createReplayWindow();
	const {host: self} = view.getSelf();

	const open = (datagram: Uint8Array): Packet | DropReason => {
		const body = seal.open(datagram);
		if (body === undefined) {
			return 'signature';
		}

		const packet = decodePacket(body);
		if (packet === undefined) {
			return 'malformed';
		}

		const {from, to, sequence} = packet;
		if (to !== self || from.host === self) {
			return 'misdirected';
		}

		return window.accept(from.host, from.incarnation, sequence) ? packet : 'replayed';
	};

	const learn = ({from, content, entries, updates, notes}: Packet): void => {
		for (const entry of entries) {
			view.applyEntry(entry, content.kind !== 'page');
		}

		for (const update of [from, ...updates]) {
			view.applyUpdate(update);
		}

		board.receive(notes);
	};

	const sendEntries = (target: Target, hosts: HostId[]): void => {
		const entries = hosts.map(host => view.table.get(host)).filter(entry => entry !== undefined);
		for (const page of getPages(entries, [])) {
			outbox.send(target, {kind: 'page'}, page);
		}
	};

	const answer = (sender: Target, {content, sequence}: Packet): void => {
		switch (content.kind) {
			case 'ping': {
				outbox.send(sender, {kind: 'ack', sequence, about: self});
				break;
			}

			case 'ack': {
				prober.receiveAck(content.sequence, content.about);
				break;
			}

			case 'ping-request': {
				prober.probeFor(sender, sequence, content.target);
				break;
			}

			case 'join': {
				spreader.sendTable(sender);
				break;
			}

			case 'page':
			case 'gossip': {
				break;
			}
		}
	};

	return {
		receive(datagram) {
			metrics.count('membership_bytes_received', {}, datagram.length + datagramOverhead);
			const packet = open(datagram);
			if (typeof packet === 'string') {
				metrics.count('membership_messages_dropped', {reason: packet});
				return;
			}

			prober.markHeard();
			learn(packet);
			const sender = view.table.get(packet.from.host);
			if (sender === undefined) {
				return;
			}

			answer(sender, packet);
			sendEntries(sender, packet.wants);
			if (sender.standing !== 'alive' && packet.content.kind === 'ack') {
				outbox.send(sender, {kind: 'gossip'});
			}

			if (packet.present > (view.table.getPresent().length * largerShare) + 1) {
				spreader.askTable(sender);
			}
		},
	};
};
