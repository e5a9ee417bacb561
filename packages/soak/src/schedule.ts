import {createRandom, type Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import {cutModes, type CutMode} from './host-links.js';
import {hostEndpoints, type HostEndpoint} from './deployment.js';
import type {OutputState} from './host-process.js';
import type {LinkState} from './link.js';
import {oddBodies, type OddBodies} from './odd-bodies.js';

/** Failure modes of the key-value service; `forgetful` loses the history of changes, `restored` goes on and then comes back from a copy of when the fault began. */
export const storeFailureModes = ['slow', 'refusing', 'losing-answers', 'silent', 'forgetful', 'restored'] as const;
/** Failure modes of the key-value service that only schedules of processes have; the history is lost at their beginning and end, so that hosts read all entries: `large` answers with very many entries at once, `endless` with a page that doesn't end. */
export const oversizedStoreModes = ['large', 'endless'] as const;
/** One of `storeFailureModes` or `oversizedStoreModes`. */
export type StoreFailureMode = typeof storeFailureModes[number] | typeof oversizedStoreModes[number];

/** Failure modes of an upstream. After `return-as-other` it restarts under another id, after `crash` under the same one; `mute` executes requests without answering, `extra-bytes` sends an unsolicited answer, `unframed` answers without length or chunks and breaks off half of its streams inside an event, `limited` names a limit on its requests, `resting` turns all away and asks for rest, `announcing` says in its answers that it leaves while its entry says nothing, and is back under another id. */
export const upstreamFailureModes = [
	'crash', 'return-as-other', 'leave', 'slow', 'extra-bytes', 'truncating', 'full', 'failing', 'mute', 'idle-resets', 'unframed', 'limited', 'resting', 'announcing',
] as const;
/** Failure modes of an upstream that only schedules of streams have: `refusing-resumes` answers hosts that go on with a stream by errors and answers that don't go on, `cutting-heads` stops in the middle of heads. */
export const streamFailureModes = ['refusing-resumes', 'cutting-heads'] as const;
/** One of `upstreamFailureModes` or `streamFailureModes`. */
export type UpstreamFailureMode = typeof upstreamFailureModes[number] | typeof streamFailureModes[number];

/** Which faults are drawn: `any`; `streams` for those that break streams off and hide from a host which versions serve; `processes` for those that strain a host's process, its start, its end and its output; `shutdowns` for planned work in series, beside faults of the store only. */
export const faultSets = ['any', 'streams', 'processes', 'shutdowns'] as const;
/** One of `faultSets`. */
export type FaultSet = typeof faultSets[number];

/** A fault of a part of the fleet; hosts and upstreams are named by index. */
export type Fault
	/** SIGTERM, and a restart once the process has exited. */
	= | {kind: 'host-stop'; host: number}
		/** SIGKILL, and a restart after the time `down`. */
		| {kind: 'host-kill'; host: number; down: Milliseconds}
		/** SIGSTOP, and SIGCONT after the duration. */
		| {kind: 'host-pause'; host: number; duration: Milliseconds}
		/** SIGTERM, and a new process that starts after the time `overlap`, while the one before may still hold its addresses. */
		| {kind: 'host-overlap'; host: number; overlap: Milliseconds}
		/** SIGKILL, and a restart while a foreign socket holds one of the host's addresses for the duration. */
		| {kind: 'taken-address'; host: number; endpoint: HostEndpoint; duration: Milliseconds}
		/** A host's output that isn't read for the duration, or whose reader is gone. */
		| {kind: 'host-output'; host: number; state: OutputState; duration: Milliseconds}
		/** Callers of one host that send large or unfinished bodies for the duration, beside those that always come. */
		| {kind: 'odd-bodies'; host: number; bodies: OddBodies; duration: Milliseconds}
		/** The settings file written again, with or without a signal to reload it. */
		| {kind: 'host-reload'; host: number; isSignalled: boolean}
		/** A fault of the link between a host and the key-value service. */
		| {kind: 'store-link'; host: number; state: LinkState; duration: Milliseconds}
		/** Cuts the links between some hosts and all upstreams, while everything else reaches them. */
		| {kind: 'partition'; hosts: readonly number[]; mode: CutMode; duration: Milliseconds}
		/** A fault of the link between all hosts and an upstream. */
		| {kind: 'upstream-link'; upstream: number; state: LinkState; duration: Milliseconds}
		| {kind: 'store'; mode: StoreFailureMode; duration: Milliseconds}
		| {kind: 'upstream'; upstream: number; mode: UpstreamFailureMode; duration: Milliseconds}
		/** Several new versions of the configuration in quick succession. */
		| {kind: 'configurations'; count: number}
		/** Additional requests, no two alike, that share a part of their prompts which crashes each upstream that begins to answer them. */
		| {kind: 'crashing-part'; duration: Milliseconds}
		/** A request rate that is raised by a factor: of all callers, or of those that keep to a host. */
		| {kind: 'burst'; host?: number; factor: number; duration: Milliseconds};

/** A fault that stops, kills or pauses a host's process; a host has one of them at a time. */
export type ExclusiveFault = Extract<Fault, {kind: typeof exclusiveKinds[number]}>;
const exclusiveKinds = ['host-stop', 'host-kill', 'host-pause', 'host-overlap', 'taken-address'] as const satisfies ReadonlyArray<Fault['kind']>;

/** Whether a host has at most one such fault at a time. */
export const isExclusive = (fault: Fault): fault is ExclusiveFault => (exclusiveKinds as ReadonlyArray<Fault['kind']>).includes(fault.kind);

/** A fault and the time at which it begins, from the start of the schedule. */
export type ScheduledFault = {at: Milliseconds; fault: Fault};

/** Numbers of hosts and upstreams that faults are drawn for. */
export type FleetSize = {hosts: number; upstreams: number};

/** Mean time between the starts of two faults; faults overlap, as most last longer. */
const meanFaultInterval: Milliseconds = 500;
const minFaultDuration: Milliseconds = 300;
const maxFaultDuration: Milliseconds = 4000;
/** Additional time of faults that are judged only some seconds after they have begun. */
const limitedTime: Milliseconds = 6000;
const crashingPartTime: Milliseconds = 4000;
const partitionTime: Milliseconds = 5000;
const oddBodiesTime: Milliseconds = 5000;

/** Failure modes that are judged only some seconds after they have begun. */
const longModes = new Set<UpstreamFailureMode>(['limited', 'announcing']);

const pickItem = <Item>(random: Random, items: readonly [Item, ...Item[]]): Item => random.pick(items) ?? items[0];

const drawDuration = (random: Random): Milliseconds => Math.round(minFaultDuration + (random.next() * (maxFaultDuration - minFaultDuration)));

const drawLinkState = (random: Random): LinkState => pickItem<LinkState>(random, [
	{kind: 'delayed', delay: Math.round(20 + (random.next() * 400))}, {kind: 'reset'}, {kind: 'silent'}, {kind: 'one-way'},
]);

/** Draws some hosts, at most all but one. */
const drawHosts = (random: Random, hosts: number): number[] => {
	const remaining = Array.from({length: hosts}, (_, index) => index);
	const count = 1 + Math.floor(random.next() * (hosts - 1));
	return Array.from({length: count}, () => remaining.splice(Math.floor(random.next() * remaining.length), 1)).flat();
};

const drawFault = (random: Random, size: FleetSize): Fault => {
	const host = Math.floor(random.next() * size.hosts);
	const upstream = Math.floor(random.next() * size.upstreams);
	const duration = drawDuration(random);
	const drawUpstreamFault = (): Fault => {
		const mode = pickItem(random, upstreamFailureModes);
		return {
			kind: 'upstream', upstream, mode, duration: longModes.has(mode) ? duration + limitedTime : duration,
		};
	};

	// A kind that is listed n times is drawn n times as often.
	return pickItem<() => Fault>(random, [
		() => ({kind: 'host-stop', host}),
		() => ({kind: 'host-stop', host}),
		() => ({kind: 'host-kill', host, down: duration}),
		() => ({kind: 'host-kill', host, down: duration}),
		() => ({kind: 'host-pause', host, duration}),
		() => ({kind: 'host-pause', host, duration}),
		() => ({kind: 'host-reload', host, isSignalled: random.next() < 0.5}),
		() => ({
			kind: 'store-link', host, state: drawLinkState(random), duration,
		}),
		() => ({
			kind: 'upstream-link', upstream, state: drawLinkState(random), duration,
		}),
		() => ({
			kind: 'upstream-link', upstream, state: drawLinkState(random), duration,
		}),
		() => ({
			kind: 'partition', hosts: drawHosts(random, size.hosts), mode: pickItem(random, cutModes), duration: duration + partitionTime,
		}),
		() => ({kind: 'store', mode: pickItem(random, storeFailureModes), duration}),
		drawUpstreamFault,
		drawUpstreamFault,
		drawUpstreamFault,
		drawUpstreamFault,
		() => ({kind: 'configurations', count: 1 + Math.floor(random.next() * 4)}),
		() => ({kind: 'crashing-part', duration: duration + crashingPartTime}),
		() => ({kind: 'burst', factor: 2 + Math.floor(random.next() * 4), duration}),
	])();
};

/** Longest short break of a host, in which it may miss that an upstream has come and gone. */
const maxShortBreak: Milliseconds = 3000;

/** Draws a fault that breaks streams off or changes versions, or a short break of one host. */
const drawStreamFault = (random: Random, size: FleetSize): Fault => {
	const host = Math.floor(random.next() * size.hosts);
	const upstream = Math.floor(random.next() * size.upstreams);
	const shortBreak = Math.round(minFaultDuration + (random.next() * (maxShortBreak - minFaultDuration)));
	const drawUpstreamFault = (): Fault => ({
		kind: 'upstream', upstream, mode: pickItem(random, ['crash', 'return-as-other', 'truncating', ...streamFailureModes]), duration: drawDuration(random),
	});

	return pickItem<() => Fault>(random, [
		drawUpstreamFault,
		drawUpstreamFault,
		drawUpstreamFault,
		() => ({kind: 'host-pause', host, duration: shortBreak}),
		() => ({
			kind: 'store-link', host, state: drawLinkState(random), duration: shortBreak,
		}),
		() => ({kind: 'store', mode: pickItem(random, storeFailureModes), duration: shortBreak}),
		() => ({kind: 'host-kill', host, down: shortBreak}),
		() => ({
			kind: 'partition', hosts: [host], mode: pickItem(random, cutModes), duration: shortBreak,
		}),
	])();
};

/** Longest time from SIGTERM to the start of the next process. */
const maxOverlap: Milliseconds = 1500;

/** Draws a fault that strains a host's process, its start, its end or its output. */
const drawProcessFault = (random: Random, size: FleetSize): Fault => {
	const host = Math.floor(random.next() * size.hosts);
	const duration = drawDuration(random);
	return pickItem<() => Fault>(random, [
		() => ({kind: 'host-stop', host}),
		() => ({kind: 'host-stop', host}),
		() => ({kind: 'host-kill', host, down: duration}),
		() => ({kind: 'host-reload', host, isSignalled: true}),
		() => ({
			kind: 'odd-bodies', host, bodies: pickItem(random, oddBodies), duration: duration + oddBodiesTime,
		}),
		() => ({kind: 'store', mode: pickItem(random, oversizedStoreModes), duration}),
		() => ({kind: 'host-overlap', host, overlap: Math.round(random.next() * maxOverlap)}),
		() => ({
			kind: 'taken-address', host, endpoint: pickItem(random, hostEndpoints), duration,
		}),
		() => ({
			kind: 'host-output', host, state: pickItem<OutputState>(random, ['unread', 'closed']), duration,
		}),
		() => ({kind: 'burst', factor: 2 + Math.floor(random.next() * 4), duration}),
	])();
};

/** Draws planned work on a host, or what may lengthen a stop without excusing that it loses requests. */
const drawShutdownFault = (random: Random, size: FleetSize): Fault => {
	const host = Math.floor(random.next() * size.hosts);
	const duration = drawDuration(random);
	const stop = (): Fault => ({kind: 'host-stop', host});
	return pickItem<() => Fault>(random, [
		stop,
		stop,
		stop,
		stop,
		() => ({kind: 'host-reload', host, isSignalled: true}),
		() => ({kind: 'host-reload', host, isSignalled: true}),
		() => ({kind: 'configurations', count: 1 + Math.floor(random.next() * 4)}),
		() => ({
			kind: 'store-link', host, state: drawLinkState(random), duration,
		}),
		() => ({kind: 'store', mode: pickItem(random, storeFailureModes), duration}),
		() => ({
			kind: 'host-output', host, state: 'unread', duration,
		}),
		() => ({
			kind: 'burst', host, factor: 10, duration,
		}),
		() => ({kind: 'burst', factor: 2 + Math.floor(random.next() * 4), duration}),
	])();
};

const drawers: Record<FaultSet, typeof drawFault> = {
	any: drawFault, streams: drawStreamFault, processes: drawProcessFault, shutdowns: drawShutdownFault,
};

/** Draws the faults of a seed within the fault period; the same seed and set give the same faults. */
export const drawSchedule = (seed: number, size: FleetSize, faultPeriod: Milliseconds, faultSet: FaultSet = 'any'): ScheduledFault[] => {
	const random = createRandom(seed);
	const schedule: ScheduledFault[] = [];
	for (let at = 0; ;) {
		at += Math.round(-Math.log(1 - random.next()) * meanFaultInterval);
		if (at >= faultPeriod) {
			return schedule;
		}

		schedule.push({at, fault: drawers[faultSet](random, size)});
	}
};
