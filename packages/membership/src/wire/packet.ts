import type {HostId, Note} from '@gentianlift/types';
import type {Entry, Update} from '../state/entry.js';

/** What a packet asks or answers. */
export type Content
	= | {kind: 'ping'}
		/** Answers the ping with that sequence number; `about` is the host that was reached. */
		| {kind: 'ack'; sequence: number; about: HostId}
		/** Asks the receiver to ping `target` for the sender. */
		| {kind: 'ping-request'; target: HostId}
		/** Asks the receiver for its whole table. */
		| {kind: 'join'}
		/** A page of the table or entries that were asked for: nothing to pass on. */
		| {kind: 'page'}
		| {kind: 'gossip'};

/** One datagram between two hosts. */
export type Packet = {
	/** The sender's own state. */
	from: Update;
	to: HostId;
	/** Rises with each packet of the sender's incarnation. */
	sequence: number;
	/** Hosts that the sender counts as present. */
	present: number;
	content: Content;
	updates: Update[];
	entries: Entry[];
	/** Hosts whose entries the sender asks for. */
	wants: HostId[];
	notes: Note[];
};
