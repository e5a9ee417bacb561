import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {Outbox, Target} from './outbox.js';
import {createProbeOrder, shuffle} from './probes.js';
import {
	directTimeout, indirectProbes, isolationFactor, isolationLimit, probePeriod,
} from './timing.js';
import type {View} from './view.js';

/** Probes hosts, one a period, directly and then through others. */
export type Prober = {
	/** Ends the last probe, and starts the next. */
	startPeriod: () => void;
	/** Drops the probe under way, as this process was paused. */
	dropProbe: () => void;
	/** Takes in an answer to a probe of this host or of one that it makes for another. */
	receiveAck: (sequence: number, about: HostId) => void;
	/** Probes a host for another. */
	probeFor: (asker: Target, sequence: number, target: HostId) => void;
	/** Notes that a message came from any host. */
	markHeard: () => void;
	/** Declares hosts gone whose suspicion has lasted. */
	sweep: () => void;
};

type Probe = {target: HostId; sequences: Set<number>; isAnswered: boolean};
type Relay = {asker: Target; sequence: number};

/** Creates a prober. */
export const createProber = ({clock, random, view, outbox}: {clock: Clock; random: Random; view: View; outbox: Outbox}): Prober => {
	const order = createProbeOrder(random);
	const relays = new Map<number, Relay>();
	let probe: Probe | undefined;
	let cancelIndirect: Cancel | undefined;
	let heardAt: Milliseconds = clock.monotonic();

	const getOthers = (): HostId[] => view.table.getPresent().map(({host}) => host).filter(host => host !== view.getSelf().host);

	const probeIndirectly = (current: Probe): void => {
		if (current.isAnswered) {
			return;
		}

		const helpers = shuffle(getOthers().filter(host => host !== current.target), random).slice(0, indirectProbes);
		for (const helper of helpers) {
			const entry = view.table.get(helper);
			if (entry !== undefined) {
				current.sequences.add(outbox.send(entry, {kind: 'ping-request', target: current.target}));
			}
		}
	};

	const claim = (host: HostId, standing: 'suspected' | 'gone'): void => {
		const entry = view.table.get(host);
		if (entry !== undefined) {
			view.applyUpdate({...entry, standing});
		}
	};

	const endProbe = (): void => {
		if (probe !== undefined && !probe.isAnswered) {
			claim(probe.target, 'suspected');
		}

		probe = undefined;
	};

	const startProbe = (): void => {
		const target = view.table.get(order.getNext(getOthers()) ?? '');
		if (target === undefined) {
			return;
		}

		const current: Probe = {target: target.host, sequences: new Set([outbox.send(target, {kind: 'ping'})]), isAnswered: false};
		probe = current;
		cancelIndirect = clock.after(directTimeout, () => {
			probeIndirectly(current);
		});
	};

	return {
		startPeriod() {
			cancelIndirect?.();
			endProbe();
			startProbe();
		},
		dropProbe() {
			cancelIndirect?.();
			probe = undefined;
		},
		receiveAck(sequence, about) {
			if (probe?.target === about && probe.sequences.has(sequence)) {
				probe.isAnswered = true;
			}

			const relay = relays.get(sequence);
			if (relay !== undefined) {
				relays.delete(sequence);
				outbox.send(relay.asker, {kind: 'ack', sequence: relay.sequence, about});
			}
		},
		probeFor(asker, sequence, host) {
			const target = view.table.get(host);
			if (target === undefined) {
				return;
			}

			const own = outbox.send(target, {kind: 'ping'});
			relays.set(own, {asker, sequence});
			clock.after(probePeriod, () => {
				relays.delete(own);
			});
		},
		markHeard() {
			heardAt = clock.monotonic();
		},
		sweep() {
			const now = clock.monotonic();
			const isIsolated = now - heardAt > isolationLimit;
			for (const host of view.suspicions.getExpired(now, isIsolated ? isolationFactor : 1)) {
				claim(host, 'gone');
			}
		},
	};
};
