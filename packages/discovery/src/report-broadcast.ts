import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import {dropOldest, setLast} from '@gentianlift/routing';
import type {HostId, Milliseconds} from '@gentianlift/types';
import {compressDatagram, readDatagram} from './compressed-datagram.js';
import type {HostRecord} from './host-record.js';
import type {LoadReport} from './load-report.js';
import {
	decodePacket, encodeMessage, encodePacket, encodeReports, forwardScope, splitChangeBatch, type ChangeBatch, type ForwardScope, type Message, type Packet,
} from './packet.js';
import {createRelayLiveness} from './relay-liveness.js';
import {
	getForwardingRelays, getOwnRelay, planRelays, type RelayPlan,
} from './relay-plan.js';
import {openReportSocket} from './report-socket.js';

/** Broadcasts load reports to all hosts, through relays in a large fleet. */
export type ReportBroadcaster = {
	/** Sends a report of this host to all others. */
	send: (report: LoadReport) => void;
	/** Sends changes of the store to the hosts of which this one is the relay. */
	sendChanges: (batch: ChangeBatch) => void;
	/** Sends a message to hosts without relays; one that is too large is logged and not sent. */
	sendMessage: (message: Message, targets: readonly HostRecord[]) => void;
	/** Returns whether a relay currently sends this host the changes of the store. */
	hasRelayFeed: () => boolean;
	close: () => void;
};

/** Options of the broadcaster. */
export type ReportBroadcasterOptions = {
	own: HostRecord;
	getOthers: () => readonly HostRecord[];
	clock: Clock;
	logger: Logger;
	/** Called with each report that another host has sent, forwarded ones included. */
	onReport: (report: LoadReport) => void;
	/** Called with the changes of the store that a relay has sent; returns whether they continue what this host knows, or lead up to it. */
	onChanges: (batch: ChangeBatch) => boolean;
	/** Called with each message that another host has sent to this one. */
	onMessage?: (from: HostId, message: Message) => void;
};

/** Time for which a relay collects reports before it forwards them together. */
const relayBatchDelay: Milliseconds = 20;
/** Age at which the relay plan is recomputed. */
const planInterval: Milliseconds = 250;
/** Age of a relay's last change batch up to which this host relies on the relay, instead of watching the store itself. */
const relayFeedTimeout: Milliseconds = 1100;

/** Maximum number of remembered hosts that read compressed datagrams. */
const maxCompressionReaders = 2000;

/** Opens the socket and starts to receive the reports of other hosts. */
export const startReportBroadcaster = ({
	own, getOthers, clock, logger, onReport, onChanges, onMessage,
}: ReportBroadcasterOptions): ReportBroadcaster => {
	const relayLiveness = createRelayLiveness();
	/** Reports to forward to the own group and to the other relays. */
	let fleetReports: LoadReport[] = [];
	/** Reports that came from other relays, to forward to the own group. */
	let groupReports: LoadReport[] = [];
	let changeBatches: ChangeBatch[] = [];
	let isScheduled = false;
	let lastFeedAt = Number.NEGATIVE_INFINITY;
	let plan: RelayPlan = {kind: 'direct', members: []};
	let plannedAt = Number.NEGATIVE_INFINITY;
	/** Hosts whose last packet said that they read compressed datagrams. */
	const compressionReaders = new Map<HostId, true>();
	const previousRelay: {host: HostId | undefined} = {host: undefined};

	const updatePlan = (now: Milliseconds): void => {
		plannedAt = now;
		plan = planRelays(own, getOthers(), host => relayLiveness.isSilent(host, now));
		const relays = getForwardingRelays(plan);
		for (const {host} of relays) {
			relayLiveness.expectReports(host, now);
		}

		const relay = getOwnRelay(plan, own);
		if (relay !== previousRelay.host) {
			logger.info('relay-chosen', {
				relay, previous: previousRelay.host, members: plan.members.length, relays: relays.length,
			});
			previousRelay.host = relay;
		}
	};

	const getPlan = (): RelayPlan => {
		const now = clock.monotonic();
		if (now - plannedAt > planInterval) {
			updatePlan(now);
		}

		return plan;
	};

	const sendDatagram = (datagram: string | Uint8Array, targets: readonly HostRecord[]): void => {
		for (const {notes: address} of targets) {
			socket.send(datagram, address);
		}
	};

	/** Sends a datagram to relays of other groups, compressed to those of other availability zones that are known to read that. */
	const sendToRelays = (text: string, relays: readonly HostRecord[]): void => {
		const isCompressed = ({host, zone}: HostRecord): boolean => zone !== own.zone && compressionReaders.has(host);
		sendDatagram(text, relays.filter(relay => !isCompressed(relay)));
		const readers = relays.filter(relay => isCompressed(relay));
		if (readers.length > 0) {
			sendDatagram(compressDatagram(text), readers);
		}
	};

	const sendReports = (reports: readonly LoadReport[], scope: ForwardScope, targets: readonly HostRecord[]): void => {
		const datagrams = targets.length === 0 ? [] : encodeReports({sender: own.host, forwardTo: scope, reports});
		const sendText = scope === forwardScope.group ? sendToRelays : sendDatagram;
		for (const text of datagrams) {
			sendText(text, targets);
		}
	};

	const flush = (): void => {
		const current = getPlan();
		const {members} = current;
		const [ofFleet, ofGroup, batches] = [fleetReports, groupReports, changeBatches];
		// Emptied first, so that what can't be sent isn't kept and tried again with each later flush.
		fleetReports = [];
		groupReports = [];
		changeBatches = [];
		sendReports(ofFleet, forwardScope.group, current.kind === 'direct' ? [] : current.otherRelays);
		sendReports([...ofFleet, ...ofGroup], forwardScope.none, members);
		for (const batch of batches) {
			sendDatagram(encodePacket({
				sender: own.host, forwardTo: forwardScope.none, reports: [], batches: [batch],
			}), members);
		}
	};

	const schedule = (): void => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		clock.after(relayBatchDelay, () => {
			isScheduled = false;
			flush();
		});
	};

	/** Forwards reports as their packet requests, even if this host doesn't consider itself a relay: hosts may disagree on the plan. */
	const forwardReports = (reports: readonly LoadReport[], scope: ForwardScope): void => {
		switch (scope) {
			case forwardScope.fleet: {
				fleetReports.push(...reports);
				schedule();
				break;
			}

			case forwardScope.group: {
				groupReports.push(...reports);
				schedule();
				break;
			}

			case forwardScope.none: {
				break;
			}
		}
	};

	const handlePacket = (packet: Packet): void => {
		const now = clock.monotonic();
		relayLiveness.markHeard(packet.sender, now);
		if (packet.readsCompressed === true) {
			setLast(compressionReaders, packet.sender, true);
			dropOldest(compressionReaders, maxCompressionReaders);
		} else {
			compressionReaders.delete(packet.sender);
		}

		for (const report of packet.reports) {
			onReport(report);
		}

		forwardReports(packet.reports, packet.forwardTo);
		for (const batch of packet.batches) {
			lastFeedAt = onChanges(batch) ? now : lastFeedAt;
		}

		if (packet.message !== undefined) {
			onMessage?.(packet.sender, packet.message);
		}
	};

	const handleDatagram = (datagram: Uint8Array): void => {
		const text = readDatagram(datagram);
		const packet = text === undefined ? undefined : decodePacket(text);
		if (packet === undefined) {
			logger.warn('note-unreadable', {length: datagram.length});
			return;
		}

		try {
			handlePacket(packet);
		} catch (error) {
			logger.error('note-failed', {sender: packet.sender, reason: (error as Error).stack});
		}
	};

	const socket = openReportSocket({
		address: own.notes, clock, logger, onMessage: handleDatagram,
	});

	return {
		send(report) {
			const current = getPlan();
			switch (current.kind) {
				case 'direct': {
					sendReports([report], forwardScope.none, current.members);
					break;
				}

				case 'relay': {
					forwardReports([report], forwardScope.fleet);
					break;
				}

				case 'member': {
					sendReports([report], forwardScope.fleet, [current.relay]);
					break;
				}
			}
		},
		sendChanges(batch) {
			if (getPlan().kind === 'relay') {
				changeBatches.push(...splitChangeBatch(batch));
				schedule();
			}
		},
		sendMessage(message, targets) {
			const text = encodeMessage(own.host, message);
			if (text === undefined) {
				logger.warn('message-too-large', {topic: message.topic});
				return;
			}

			sendDatagram(text, targets);
		},
		hasRelayFeed: () => getPlan().kind === 'member' && clock.monotonic() - lastFeedAt < relayFeedTimeout,
		close() {
			socket.close();
		},
	};
};
