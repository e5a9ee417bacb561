import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {Callers, Deployment} from './deployment.js';
import {createExclusiveFaultRunner} from './exclusive-faults.js';
import {crashingPartPrefix} from './fake-upstream.js';
import type {Fleet, SoakHost} from './fleet.js';
import type {CutMode} from './host-links.js';
import type {Link} from './link.js';
import type {Disturbance, Observations} from './guarantees.js';
import type {HostProcess, OutputState} from './host-process.js';
import type {OddBodies} from './odd-bodies.js';
import {describeProcessFailure} from './process-failure.js';
import {isExclusive, type Fault} from './schedule.js';

/** Injects faults into a fleet. */
export type Injector = {
	/** Starts a fault, which ends after its duration. */
	inject: (fault: Fault) => void;
	/** Returns the current factor on the rate of requests: of those that go where hosts tell them to, or of those that keep to a host. */
	getRateFactor: (host?: number) => number;
	/** Returns the part that crashes upstreams and comes with additional requests; undefined at other times. */
	getCrashingPart: () => string | undefined;
	/** Returns the newest version of the configuration. */
	getVersion: () => number;
	/** Resolves when all faults have ended. */
	waitForFaults: () => Promise<void>;
	/** Returns what the hosts' processes have done wrong: exits and memory. */
	getFailures: () => string[];
};

/** Dependencies of an injector. */
export type InjectorOptions = {fleet: Fleet; deployment: Deployment; callers: Callers; clock: Clock; observations: Observations};

/** Time between two new versions of the configuration in one fault. */
const configurationInterval: Milliseconds = 150;
/** Time for which upstreams that a part has crashed may be away after its last request. */
const crashAftermath: Milliseconds = 3000;
/** Creates an injector for a fleet whose configuration has version 1. */
export const createInjector = ({fleet, deployment, callers, clock, observations}: InjectorOptions): Injector => {
	const activeFaults = new Set<Promise<void>>();
	const partitioned = new Set<number>();
	let version = 1;
	/** Factors on the rate of all requests (undefined), and of those that keep to a host. */
	const rateFactors = new Map<number | undefined, number>();
	let crashingPart: string | undefined;
	let crashingParts = 0;

	/** Records an unplanned fault from now until it has run. */
	const disturb = async (kind: Disturbance['kind'], run: () => Promise<void>): Promise<void> => {
		const disturbance = {kind, from: clock.monotonic(), to: Number.POSITIVE_INFINITY};
		observations.disturbances.push(disturbance);
		await run();
		disturbance.to = clock.monotonic();
	};

	const runExclusive = createExclusiveFaultRunner({
		deployment, clock, observations, disturb,
	});

	/** Runs a fault that stops, kills or pauses a host; skips it if the host already has such a fault. */
	const runHostFault = async (index: number, run: (host: SoakHost) => Promise<void>): Promise<void> => {
		const host = fleet.hosts[index];
		if (host === undefined || host.hasActiveFault) {
			return;
		}

		host.hasActiveFault = true;
		const outage = {host: index, from: clock.monotonic(), to: Number.POSITIVE_INFINITY};
		observations.outages.push(outage);
		await run(host);
		host.hasActiveFault = false;
		outage.to = clock.monotonic();
	};

	/** Lets a host's output go unread, or closes it, and reads it again. */
	const disturbOutput = async (hostProcess: HostProcess, state: OutputState, duration: Milliseconds): Promise<void> => {
		hostProcess.setOutput(state);
		await clock.sleep(duration);
		if (state === 'unread') {
			hostProcess.setOutput('read');
		}
	};

	const publishConfigurations = async (count: number): Promise<void> => {
		for (let left = count; left > 0; left--) {
			version += 1;
			deployment.configure(fleet.store, version);
			// eslint-disable-next-line no-await-in-loop -- Versions are published one at a time.
			await clock.sleep(configurationInterval);
		}
	};

	/** Records a disturbance, begins a fault and ends it after the duration. */
	const applyFor = async (kind: Disturbance['kind'], duration: Milliseconds, begin: () => void, end: () => void): Promise<void> => {
		await disturb(kind, async () => {
			begin();
			await clock.sleep(duration);
			end();
		});
	};

	const impairLink = async (link: Link | undefined, {kind, state, duration}: Extract<Fault, {kind: 'store-link' | 'upstream-link'}>): Promise<void> => applyFor(
		kind,
		duration,
		() => link?.setState(state),
		() => link?.setState({kind: 'open'}),
	);

	/** Cuts the links of hosts to all upstreams; skips hosts whose links are cut already. */
	const partition = async (indexes: readonly number[], mode: CutMode, duration: Milliseconds): Promise<void> => {
		const hosts = indexes.filter(index => !partitioned.has(index) && fleet.hosts[index] !== undefined);
		const cut = (next: CutMode | undefined): void => {
			for (const index of hosts) {
				fleet.hosts[index]?.upstreamLinks.cut(next);
			}
		};

		const from = clock.monotonic();
		for (const host of hosts) {
			partitioned.add(host);
		}

		await applyFor('partition', duration, () => {
			cut(mode);
		}, () => {
			cut(undefined);
		});
		observations.partitions.push({hosts, from, to: clock.monotonic()});
		for (const host of hosts) {
			partitioned.delete(host);
		}
	};

	/** Lets odd callers send bodies to a host. */
	const sendOddBodies = async (index: number, bodies: OddBodies, duration: Milliseconds): Promise<void> => {
		const host = fleet.hosts[index];
		if (host === undefined) {
			return;
		}

		const period = {hosts: [index], from: clock.monotonic(), to: Number.POSITIVE_INFINITY};
		observations.oddBodies.push(period);
		const stop = callers.sendOddBodies(host.callerAddress, bodies, `odd-${Math.round(period.from)}`);
		await clock.sleep(duration);
		period.to = clock.monotonic();
		stop();
	};

	const reloadHost = (host: SoakHost | undefined, isSignalled: boolean): void => {
		if (host === undefined) {
			return;
		}

		deployment.writeSettings(host.options);
		if (isSignalled) {
			host.hostProcess.reload();
		}
	};

	const raiseRate = async ({host, factor, duration}: Extract<Fault, {kind: 'burst'}>): Promise<void> => {
		rateFactors.set(host, factor);
		await clock.sleep(duration);
		rateFactors.delete(host);
	};

	/** Lets requests with a new part that crashes upstreams come for a time; the upstreams are back some seconds after it. */
	const sendCrashingPart = async (duration: Milliseconds): Promise<void> => {
		const from = clock.monotonic();
		observations.disturbances.push({kind: 'crashing-part', from, to: from + duration + crashAftermath});
		crashingParts += 1;
		const part = `${crashingPartPrefix}${crashingParts}`;
		crashingPart = part;
		await clock.sleep(duration);
		crashingPart = crashingPart === part ? undefined : crashingPart;
	};

	const runFault = async (fault: Fault): Promise<void> => {
		if (isExclusive(fault)) {
			return runHostFault(fault.host, async host => runExclusive(fault, host));
		}

		const {hosts, upstreams, store} = fleet;
		switch (fault.kind) {
			case 'host-output': {
				const hostProcess = hosts[fault.host]?.hostProcess;
				return hostProcess && disturbOutput(hostProcess, fault.state, fault.duration);
			}

			case 'odd-bodies': {
				return sendOddBodies(fault.host, fault.bodies, fault.duration);
			}

			case 'host-reload': {
				reloadHost(hosts[fault.host], fault.isSignalled);
				return;
			}

			case 'store-link': {
				return impairLink(hosts[fault.host]?.storeLink, fault);
			}

			case 'partition': {
				return partition(fault.hosts, fault.mode, fault.duration);
			}

			case 'upstream-link': {
				return impairLink(upstreams[fault.upstream]?.link, fault);
			}

			case 'store': {
				return applyFor(fault.kind, fault.duration, () => {
					store.setFailureMode(fault.mode);
				}, () => {
					store.setFailureMode(undefined);
				});
			}

			case 'upstream': {
				const fake = upstreams[fault.upstream]?.fake;
				return applyFor(fault.kind, fault.duration, () => fake?.setFailureMode(fault.mode), () => fake?.setFailureMode(undefined));
			}

			case 'configurations': {
				return publishConfigurations(fault.count);
			}

			case 'crashing-part': {
				return sendCrashingPart(fault.duration);
			}

			case 'burst': {
				return raiseRate(fault);
			}
		}
	};

	return {
		inject(fault) {
			const task = runFault(fault);
			activeFaults.add(task);
			void task.finally(() => {
				activeFaults.delete(task);
			});
		},
		getRateFactor: host => (rateFactors.get(undefined) ?? 1) * (host === undefined ? 1 : rateFactors.get(host) ?? 1),
		getCrashingPart: () => crashingPart,
		getVersion: () => version,
		async waitForFaults() {
			await Promise.all(activeFaults);
		},
		getFailures: () => fleet.hosts.flatMap(({options, hostProcess}) => hostProcess.getFailures().map(failure => `${options.name} ${describeProcessFailure(failure)}`)),
	};
};
