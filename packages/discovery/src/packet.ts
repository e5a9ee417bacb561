import {Buffer} from 'node:buffer';
import {isJsonObject, type Change, type HostId} from '@gentianlift/types';
import {getChangeRevision, isChange} from './checked-entries.js';
import {
	packLoadReport, unpackLoadReport, type LoadReport, type PackedLoadReport,
} from './load-report.js';

/** Hosts to which the recipient of a packet must forward its load reports: none, its own group, or the whole fleet. */
export const forwardScope = {none: 0, group: 1, fleet: 2} as const;

/** Value of `forwardScope`. */
export type ForwardScope = typeof forwardScope[keyof typeof forwardScope];

/** Changes of the store, sent by a relay to hosts that don't watch the store themselves. */
export type ChangeBatch = {
	/** Revision directly before the first change. */
	after: number;
	revision: number;
	changes: Change[];
};

/** Small message from one host to another; the topic says who reads the body, which is JSON. */
export type Message = {topic: string; body: unknown};

/** Datagram between hosts. Losing one only delays its information, as later ones repeat or supersede it. */
export type Packet = {
	/** The host that sent the datagram; as a relay it also forwards reports of other hosts. */
	sender: HostId;
	/** Hosts to which the recipient must forward the reports. */
	forwardTo: ForwardScope;
	reports: LoadReport[];
	/** Changes of the store, from a relay to its group. */
	batches: ChangeBatch[];
	/** Message to the recipient. */
	message?: Message;
	/** Whether the sender reads compressed datagrams; hosts of older versions don't. */
	readsCompressed?: true;
};

type PackedMessage = [topic: string, body: unknown];

/** Packet in the form in which it is sent: tuples in place of objects, as load reports make up most of the traffic between hosts. */
type WirePacket = [
	sender: HostId,
	scope: ForwardScope,
	reports: PackedLoadReport[],
	batches: ChangeBatch[],
	/** Absent in packets of older versions. */
	readsCompressed?: 1,
	/** Absent in packets without one. */
	message?: PackedMessage,
];

/** Encodes a packet of this host as the text of a datagram. */
export const encodePacket = (packet: Omit<Packet, 'readsCompressed'>): string => {
	const wire: WirePacket = [packet.sender, packet.forwardTo, packet.reports.map(report => packLoadReport(report)), packet.batches, 1];
	return JSON.stringify(wire);
};

/** Maximum size of a datagram with a message, in bytes. */
export const maxMessageSize = 8192;

/** Encodes a message as the text of a datagram; returns undefined if it is too large. */
export const encodeMessage = (sender: HostId, {topic, body}: Message): string | undefined => {
	const wire: WirePacket = [sender, forwardScope.none, [], [], 1, [topic, body]];
	const text = JSON.stringify(wire);
	return Buffer.byteLength(text) > maxMessageSize ? undefined : text;
};

/** Maximum length of the reports in one datagram, whose size is limited to 64 KB; one report that is longer goes alone. */
const maxReportsLength = 48_000;

/** Encodes reports as the texts of as few datagrams as hold them. */
export const encodeReports = ({sender, forwardTo, reports}: Pick<Packet, 'sender' | 'forwardTo'> & {reports: readonly LoadReport[]}): string[] => {
	const datagrams: string[] = [];
	let texts: string[] = [];
	let length = 0;
	const finish = (): void => {
		if (texts.length > 0) {
			datagrams.push(`[${JSON.stringify(sender)},${forwardTo},[${texts.join(',')}],[],1]`);
			texts = [];
			length = 0;
		}
	};

	for (const report of reports) {
		const text = JSON.stringify(packLoadReport(report));
		if (length + text.length > maxReportsLength) {
			finish();
		}

		texts.push(text);
		length += text.length;
	}

	finish();
	return datagrams;
};

const isForwardScope = (value: unknown): value is ForwardScope => Object.values<unknown>(forwardScope).includes(value);

/** Whether all of a batch can be read: one without some of its changes would leave a gap. */
const isChangeBatch = (value: unknown): value is ChangeBatch =>
	isJsonObject(value) && Number.isSafeInteger(value.after) && Number.isSafeInteger(value.revision) && Array.isArray(value.changes) && value.changes.every(change => isChange(change));

const parse = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const unpackMessage = (value: unknown): Message | undefined => {
	const [topic, body] = Array.isArray(value) ? value as unknown[] : [];
	return typeof topic === 'string' ? {topic, body} : undefined;
};

/** Decodes a packet; returns undefined if it is malformed. Malformed reports, change batches and messages in it are skipped. */
export const decodePacket = (text: string): Packet | undefined => {
	const wire = parse(text);
	if (!Array.isArray(wire)) {
		return undefined;
	}

	const [sender, scope, reports, batches, readsCompressed, packedMessage] = wire as unknown[];
	if (typeof sender !== 'string' || !isForwardScope(scope) || !Array.isArray(reports) || !Array.isArray(batches)) {
		return undefined;
	}

	const message = unpackMessage(packedMessage);
	return {
		sender,
		forwardTo: scope,
		reports: reports.flatMap(report => unpackLoadReport(report) ?? []),
		batches: batches.filter(batch => isChangeBatch(batch)),
		...(message !== undefined && {message}),
		...(readsCompressed === 1 && {readsCompressed: true}),
	};
};

/** Maximum number of changes in one datagram. */
const maxChangesPerDatagram = 40;

/** Splits a list into chunks of at most `size` items. */
const splitIntoChunks = <Item>(items: readonly Item[], size: number): Item[][] =>
	Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));

const getLastRevision = (changes: readonly Change[], fallback: number): number => {
	const last = changes.at(-1);
	return last === undefined ? fallback : getChangeRevision(last);
};

/** Splits a batch that is too large for one datagram; each part starts at the revision where the previous one ends. */
export const splitChangeBatch = (batch: ChangeBatch): ChangeBatch[] => {
	const parts = splitIntoChunks(batch.changes, maxChangesPerDatagram);
	if (parts.length <= 1) {
		return [batch];
	}

	let {after} = batch;
	return parts.map((changes, index) => {
		const revision = index === parts.length - 1 ? batch.revision : getLastRevision(changes, after);
		const part = {after, revision, changes};
		after = revision;
		return part;
	});
};
