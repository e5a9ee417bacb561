import type {Metrics} from '@gentianlift/metrics';
import type {Address, HostId} from '@gentianlift/types';
import type {Transport} from '../transport/transport.js';
import {encodePacket} from '../wire/codec.js';
import type {Content} from '../wire/packet.js';
import type {Seal} from '../wire/seal.js';
import {takeCargo, type Cargo} from './packing.js';
import type {View} from './view.js';

/** Where a message goes. */
export type Target = {host: HostId; gossipAddress: Address};

/** Sends messages, each with the news that fit in. */
export type Outbox = {
	/** Sends a message and gets its sequence number. `cargo` replaces the news. */
	send: (target: Target, content: Content, cargo?: Cargo) => number;
};

/** Bytes that UDP and IP add to a datagram. */
const datagramOverhead = 28;

/** Creates an outbox. */
export const createOutbox = ({view, seal, transport, metrics}: {view: View; seal: Seal; transport: Transport; metrics: Metrics}): Outbox => {
	let sequence = 0;

	/** A host that is suspected or gone here is told so, as only it can refute it. */
	const addClaim = (cargo: Cargo, host: HostId): Cargo => {
		const entry = view.table.get(host);
		const isKnown = cargo.updates.some(update => update.host === host);
		return entry === undefined || entry.standing === 'alive' || isKnown ? cargo : {...cargo, updates: [...cargo.updates, entry]};
	};

	return {
		send(target, content, given) {
			sequence++;
			const cargo = addClaim(given ?? takeCargo(view, view.wants), target.host);
			const body = encodePacket({
				from: view.getSelf(), to: target.host, sequence, present: view.table.getPresent().length, content, ...cargo,
			});
			const datagram = seal.sign(body);
			metrics.count('membership_messages_sent', {kind: content.kind});
			metrics.count('membership_bytes_sent', {}, datagram.length + datagramOverhead);
			transport.send(target.gossipAddress, datagram);
			return sequence;
		},
	};
};
