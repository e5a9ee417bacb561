import type {Metrics} from '@gentianlift/metrics';
import type {HostId} from '@gentianlift/types';
import {decodePacket} from '../wire/codec.js';
import type {Packet} from '../wire/packet.js';
import {createReplayWindow} from '../wire/replay-window.js';
import type {DatagramSigner} from '../wire/datagram-signer.js';
import type {AnnouncementChannel} from './announcement-channel.js';
import {createPages} from './piggyback.js';
import type {PacketSender, Target} from './packet-sender.js';
import type {Prober} from './prober.js';
import type {Disseminator} from './disseminator.js';
import type {View} from './view.js';

/** Dependencies of the receiver. */
export type ReceiverOptions = {
	view: View;
	signer: DatagramSigner;
	packetSender: PacketSender;
	prober: Prober;
	metrics: Metrics;
	announcementChannel: AnnouncementChannel;
	disseminator: Disseminator;
};

/** Handles received datagrams. */
export type Receiver = {receive: (datagram: Uint8Array) => void};

/** Factor by which the sender must know more hosts than this one before its table is requested. */
const tableRequestRatio = 1.1;

/** Size of the UDP and IPv4 headers of a datagram. */
const datagramOverheadBytes = 28;

type DropReason = 'signature' | 'malformed' | 'misdirected' | 'replayed';

/** Creates a receiver. It drops and counts datagrams that have no valid signature, are malformed, are addressed to another host or were received before. */
export const createReceiver = (options: ReceiverOptions): Receiver => {
	const {view, signer, packetSender, prober, metrics, announcementChannel, disseminator} = options;
	const replayWindow = createReplayWindow();
	const {host: self} = view.getSelf();

	const authenticatePacket = (datagram: Uint8Array): Packet | DropReason => {
		const body = signer.verify(datagram);
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

		return replayWindow.accept(from.host, from.incarnation, sequence) ? packet : 'replayed';
	};

	const applyPacket = ({from, message, entries, updates, announcements}: Packet): void => {
		for (const entry of entries) {
			view.applyEntry(entry, message.kind !== 'page');
		}

		for (const update of [from, ...updates]) {
			view.applyUpdate(update);
		}

		announcementChannel.receive(announcements);
	};

	const sendEntries = (target: Target, hosts: HostId[]): void => {
		const entries = hosts.map(host => view.table.get(host)).filter(entry => entry !== undefined);
		for (const page of createPages(entries, [])) {
			packetSender.send(target, {kind: 'page'}, page);
		}
	};

	const handleMessage = (sender: Target, {message, sequence}: Packet): void => {
		switch (message.kind) {
			case 'ping': {
				packetSender.send(sender, {kind: 'ack', sequence, target: self});
				break;
			}

			case 'ack': {
				prober.receiveAck(message.sequence, message.target);
				break;
			}

			case 'ping-request': {
				prober.probeOnBehalf(sender, sequence, message.target);
				break;
			}

			case 'join': {
				disseminator.sendTable(sender);
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
			metrics.count('membership_bytes_received', {}, datagram.length + datagramOverheadBytes);
			const packet = authenticatePacket(datagram);
			if (typeof packet === 'string') {
				metrics.count('membership_messages_dropped', {reason: packet});
				return;
			}

			prober.recordContact();
			applyPacket(packet);
			const sender = view.table.get(packet.from.host);
			if (sender === undefined) {
				return;
			}

			handleMessage(sender, packet);
			sendEntries(sender, packet.entryRequests);
			if (sender.liveness !== 'alive' && packet.message.kind === 'ack') {
				packetSender.send(sender, {kind: 'gossip'});
			}

			if (packet.presentCount > (view.table.getPresentEntries().length * tableRequestRatio) + 1) {
				disseminator.requestTable(sender);
			}
		},
	};
};
