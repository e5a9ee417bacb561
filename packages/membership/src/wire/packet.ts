import type {HostId, Announcement} from '@gentianlift/types';
import type {MemberEntry, Update} from '../state/entry.js';

/** The protocol message that a packet carries. */
export type Message
	= | {kind: 'ping'}
		/** Acknowledges the ping or ping request with that sequence number; `target` is the host that answered the probe. */
		| {kind: 'ack'; sequence: number; target: HostId}
		/** Asks the receiver to probe `target` on behalf of the sender (indirect probe). */
		| {kind: 'ping-request'; target: HostId}
		/** Requests the full member table of the receiver. */
		| {kind: 'join'}
		/** A page of the member table, or requested entries; the receiver doesn't disseminate these entries further. */
		| {kind: 'page'}
		/** Carries only piggybacked updates. */
		| {kind: 'gossip'};

/** Content of one datagram between two hosts: a message and the updates piggybacked on it. */
export type Packet = {
	/** The sender's own state. */
	from: Update;
	to: HostId;
	/** Increases with each packet of the sender's incarnation. */
	sequence: number;
	/** Number of hosts that the sender has as not gone. */
	presentCount: number;
	message: Message;
	updates: Update[];
	entries: MemberEntry[];
	/** Hosts whose full entries the sender requests. */
	entryRequests: HostId[];
	announcements: Announcement[];
};
