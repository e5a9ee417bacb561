import type {Metrics} from '@gentianlift/metrics';
import type {Address, HostId} from '@gentianlift/types';
import type {Transport} from '../transport/transport.js';
import {encodePacket} from '../wire/codec.js';
import type {Message} from '../wire/packet.js';
import type {DatagramSigner} from '../wire/datagram-signer.js';
import {takePiggyback, type Piggyback} from './piggyback.js';
import type {View} from './view.js';

/** Destination of a packet. */
export type Target = {host: HostId; gossipAddress: Address};

/** Sends messages in signed packets, with updates piggybacked on each. */
export type PacketSender = {
	/** Sends a message and returns the sequence number of its packet. `piggyback` replaces the queued updates. */
	send: (target: Target, message: Message, piggyback?: Piggyback) => number;
};

/** Size of the UDP and IPv4 headers of a datagram. */
const datagramOverheadBytes = 28;

/** Creates a packet sender. */
export const createPacketSender = ({view, signer, transport, metrics}: {view: View; signer: DatagramSigner; transport: Transport; metrics: Metrics}): PacketSender => {
	let sequence = 0;

	/** Adds the claim that the destination is suspected or gone, if this host has it as such, as only the destination can refute it. */
	const addClaim = (piggyback: Piggyback, host: HostId): Piggyback => {
		const entry = view.table.get(host);
		const isKnown = piggyback.updates.some(update => update.host === host);
		return entry === undefined || entry.liveness === 'alive' || isKnown ? piggyback : {...piggyback, updates: [...piggyback.updates, entry]};
	};

	return {
		send(target, message, piggybackOverride) {
			sequence++;
			const piggyback = addClaim(piggybackOverride ?? takePiggyback(view, view.entryRequests), target.host);
			const body = encodePacket({
				from: view.getSelf(), to: target.host, sequence, presentCount: view.table.getPresentEntries().length, message, ...piggyback,
			});
			const datagram = signer.sign(body);
			metrics.count('membership_messages_sent', {kind: message.kind});
			metrics.count('membership_bytes_sent', {}, datagram.length + datagramOverheadBytes);
			transport.send(target.gossipAddress, datagram);
			return sequence;
		},
	};
};
