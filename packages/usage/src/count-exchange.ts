import type {HostMessages} from '@gentianlift/discovery';
import type {CustomerId, HostId, Milliseconds} from '@gentianlift/types';
import {
	decodeCounts, encodeCounts, listCounts, type CountItem, type CountSource,
} from './count-message.js';
import type {FleetCounts} from './fleet-counts.js';
import {addCount, dropWindowsBefore, type WindowCounts} from './window-counts.js';

/** Brings the counts of all hosts to the candidates of the duty. */
export type CountExchange = {
	/** Counts a request of this host. */
	add: (window: number, customer: CustomerId) => void;
	/** Sends what the candidates don't know yet; to be called about once a second. */
	send: () => void;
	/** Forgets the windows before one. */
	dropBefore: (window: number) => void;
};

/** Dependencies of the exchange. */
export type CountExchangeOptions = {
	self: CountSource;
	messages: HostMessages;
	/** Counts of the fleet, which this host keeps as a candidate. */
	counts: FleetCounts;
	/** Returns the candidates of the duty. */
	getCandidates: () => HostId[];
	/** Returns the processes of hosts that send their own counts, this one included. */
	getSources: () => CountSource[];
	/** Returns the true time. */
	now: () => Milliseconds;
};

/** Topic of the messages. */
const topic = 'usage';
/** How often a change is sent, and a handover, as messages may be lost. */
const repetitions = 3;

const getKey = ({host, incarnation}: CountSource): string => `${host}/${incarnation}`;

/** Starts to take in the counts of other hosts. */
export const createCountExchange = ({
	self, messages, counts, getCandidates, getSources, now,
}: CountExchangeOptions): CountExchange => {
	const own: WindowCounts = new Map();
	/** How often the counts of a window are still to be sent. */
	const unsent = new Map<number, number>();
	/** Candidates of the last time by their process, and how often what they missed is still to be sent to them. */
	let candidates = new Map<string, {host: HostId; remaining: number}>();

	messages.listen(topic, (_, body) => {
		const {items, completeSince} = decodeCounts(body);
		counts.apply(items);
		if (completeSince !== undefined) {
			counts.markComplete(completeSince);
		}
	});

	const sendItems = (items: readonly CountItem[], to: readonly HostId[], completeSince?: Milliseconds): void => {
		const bodies = encodeCounts(items);
		if (completeSince !== undefined) {
			bodies.push({sources: [], completeSince});
		}

		for (const body of bodies) {
			messages.send(topic, body, to);
		}
	};

	const updateCandidates = (sources: readonly CountSource[]): void => {
		const hosts = new Set(getCandidates());
		const current = sources.filter(({host}) => hosts.has(host));
		const previous = candidates;
		candidates = new Map(current.map(source => {
			const key = getKey(source);
			return [key, previous.get(key) ?? {host: source.host, remaining: repetitions}];
		}));
	};

	/** Gives a new candidate what it hasn't been sent: the counts of this host, and those of hosts that no longer send. */
	const sendMissed = (to: HostId, sources: readonly CountSource[], isCandidate: boolean): void => {
		sendItems(listCounts(self, own, own.keys()), [to]);
		const completeSince = counts.getCompleteSince();
		if (isCandidate && to !== self.host && Number.isFinite(completeSince)) {
			const sending = new Set(sources.map(source => getKey(source)));
			sendItems(counts.list(source => !sending.has(getKey(source))), [to], completeSince);
		}
	};

	const sendChanges = (to: readonly HostId[]): void => {
		sendItems(listCounts(self, own, unsent.keys()), to);
		for (const [window, remaining] of unsent) {
			if (remaining > 1) {
				unsent.set(window, remaining - 1);
			} else {
				unsent.delete(window);
			}
		}
	};

	return {
		add(window, customer) {
			addCount(own, window, customer, 1);
			unsent.set(window, repetitions);
		},
		send() {
			const sources = getSources();
			const ownKey = getKey(self);
			const wasCandidate = candidates.has(ownKey);
			updateCandidates(sources);
			const all = [...candidates.values()];
			for (const candidate of all.filter(({remaining}) => remaining > 0)) {
				candidate.remaining -= 1;
				sendMissed(candidate.host, sources, wasCandidate);
			}

			sendChanges(all.map(({host}) => host));
			counts.setCandidate(candidates.has(ownKey), now());
		},
		dropBefore(window) {
			dropWindowsBefore(own, window);
			for (const pending of unsent.keys()) {
				if (pending < window) {
					unsent.delete(pending);
				}
			}
		},
	};
};
