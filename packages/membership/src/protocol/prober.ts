import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {PacketSender, Target} from './packet-sender.js';
import {createProbeOrder, shuffle} from './probe-order.js';
import {
	directProbeTimeout, indirectProbeCount, isolationMultiplier, isolationTimeout, probeInterval,
} from './timing.js';
import type {View} from './view.js';

/** Probes one host per protocol period, directly and then, without an acknowledgement, through other hosts (indirect probes). */
export type Prober = {
	/** Finishes the current probe, suspecting its target unless it was acknowledged, and starts the next one. */
	startNextProbe: () => void;
	/** Abandons the current probe without suspecting its target; used when this process was paused and may not have read the acknowledgement. */
	abandonProbe: () => void;
	/** Records the acknowledgement of a probe, and forwards it if the probe was made on behalf of another host. */
	receiveAck: (sequence: number, target: HostId) => void;
	/** Probes a host on behalf of another; `sequence` is the number of the ping request. */
	probeOnBehalf: (requester: Target, sequence: number, target: HostId) => void;
	/** Records that a packet arrived, which shows that this host isn't isolated. */
	recordContact: () => void;
	/** Declares hosts gone whose suspicion timeout has expired. */
	declareExpiredGone: () => void;
};

type Probe = {target: HostId; sequences: Set<number>; isAnswered: boolean};
type RelayedProbe = {requester: Target; sequence: number};

/** Creates a prober. */
export const createProber = ({clock, random, view, packetSender}: {clock: Clock; random: Random; view: View; packetSender: PacketSender}): Prober => {
	const probeOrder = createProbeOrder(random);
	const relayedProbes = new Map<number, RelayedProbe>();
	let probe: Probe | undefined;
	let cancelIndirectProbes: Cancel | undefined;
	let lastContactAt: Milliseconds = clock.monotonic();

	const getOtherHosts = (): HostId[] => view.table.getPresentEntries().map(({host}) => host).filter(host => host !== view.getSelf().host);

	const probeIndirectly = (current: Probe): void => {
		if (current.isAnswered) {
			return;
		}

		const relayHosts = shuffle(getOtherHosts().filter(host => host !== current.target), random).slice(0, indirectProbeCount);
		for (const relayHost of relayHosts) {
			const entry = view.table.get(relayHost);
			if (entry !== undefined) {
				current.sequences.add(packetSender.send(entry, {kind: 'ping-request', target: current.target}));
			}
		}
	};

	const applyClaim = (host: HostId, liveness: 'suspected' | 'gone'): void => {
		const entry = view.table.get(host);
		if (entry !== undefined) {
			view.applyUpdate({...entry, liveness});
		}
	};

	const finishProbe = (): void => {
		if (probe !== undefined && !probe.isAnswered) {
			applyClaim(probe.target, 'suspected');
		}

		probe = undefined;
	};

	const startProbe = (): void => {
		const target = view.table.get(probeOrder.getNext(getOtherHosts()) ?? '');
		if (target === undefined) {
			return;
		}

		const current: Probe = {target: target.host, sequences: new Set([packetSender.send(target, {kind: 'ping'})]), isAnswered: false};
		probe = current;
		cancelIndirectProbes = clock.after(directProbeTimeout, () => {
			probeIndirectly(current);
		});
	};

	return {
		startNextProbe() {
			cancelIndirectProbes?.();
			finishProbe();
			startProbe();
		},
		abandonProbe() {
			cancelIndirectProbes?.();
			probe = undefined;
		},
		receiveAck(sequence, target) {
			if (probe?.target === target && probe.sequences.has(sequence)) {
				probe.isAnswered = true;
			}

			const relayedProbe = relayedProbes.get(sequence);
			if (relayedProbe !== undefined) {
				relayedProbes.delete(sequence);
				packetSender.send(relayedProbe.requester, {kind: 'ack', sequence: relayedProbe.sequence, target});
			}
		},
		probeOnBehalf(requester, sequence, host) {
			const target = view.table.get(host);
			if (target === undefined) {
				return;
			}

			const ownSequence = packetSender.send(target, {kind: 'ping'});
			relayedProbes.set(ownSequence, {requester, sequence});
			clock.after(probeInterval, () => {
				relayedProbes.delete(ownSequence);
			});
		},
		recordContact() {
			lastContactAt = clock.monotonic();
		},
		declareExpiredGone() {
			const now = clock.monotonic();
			const isIsolated = now - lastContactAt > isolationTimeout;
			for (const host of view.suspicions.getExpired(now, isIsolated ? isolationMultiplier : 1)) {
				applyClaim(host, 'gone');
			}
		},
	};
};
