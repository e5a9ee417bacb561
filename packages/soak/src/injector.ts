import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {Deployment, HostEndpoint} from './deployment.js';
import {crashingPartPrefix} from './fake-upstream.js';
import type {Fleet, SoakHost} from './fleet.js';
import type {CutMode} from './host-links.js';
import type {Link, LinkState} from './link.js';
import type {Observations} from './guarantees.js';
import type {HostProcess, OutputState} from './host-process.js';
import {describeProcessFailure} from './process-failure.js';
import {isExclusive, type ExclusiveFault, type Fault} from './schedule.js';
import {takeAddress} from './taken-address.js';

/** Injects faults into a fleet. */
export type Injector = {
	/** Starts a fault, which ends after its duration. */
	inject: (fault: Fault) => void;
	/** Returns the current factor on the rate of requests. */
	getRateFactor: () => number;
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
export type InjectorOptions = {fleet: Fleet; deployment: Deployment; clock: Clock; observations: Observations};

/** Time between two new versions of the configuration in one fault. */
const configurationInterval: Milliseconds = 150;
/** Time for which upstreams that a part has crashed may be away after its last request. */
const crashAftermath: Milliseconds = 3000;
/** Time after its start in which a host may not be ready yet. */
const startupTime: Milliseconds = 3000;
/** Time beyond the grace period that is allowed until the exit of a process is observed. */
const exitDetectionMargin: Milliseconds = 500;

/** Creates an injector for a fleet whose configuration has version 1. */
export const createInjector = ({fleet, deployment, clock, observations}: InjectorOptions): Injector => {
	const activeFaults = new Set<Promise<void>>();
	const partitioned = new Set<number>();
	let version = 1;
	let rateFactor = 1;
	let crashingPart: string | undefined;
	let crashingParts = 0;

	const recordDisturbance = (duration: Milliseconds): void => {
		const from = clock.monotonic();
		observations.disturbances.push({from, to: from + duration});
	};

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
		outage.to = clock.monotonic() + startupTime;
	};

	/** Stops a host gracefully and records the shutdown. */
	const stopHost = async (index: number, {options, hostProcess}: SoakHost): Promise<void> => {
		const shutdown = {host: index, from: clock.monotonic(), to: Number.POSITIVE_INFINITY};
		observations.shutdowns.push(shutdown);
		await hostProcess.stop(options.grace + exitDetectionMargin);
		shutdown.to = clock.monotonic();
	};

	const restartHostGracefully = async (index: number, host: SoakHost): Promise<void> => {
		await stopHost(index, host);
		host.hostProcess.start();
	};

	/** Starts the next process of a host while the one before may still be stopping. */
	const overlapProcesses = async (index: number, host: SoakHost, overlap: Milliseconds): Promise<void> => {
		const stopped = stopHost(index, host);
		await clock.sleep(overlap);
		host.hostProcess.start();
		await stopped;
	};

	/** Kills a host and starts it again while a foreign socket holds one of its addresses. */
	const restartWithTakenAddress = async ({options, hostProcess}: SoakHost, endpoint: HostEndpoint, duration: Milliseconds): Promise<void> => {
		recordDisturbance(duration + startupTime);
		await hostProcess.kill();
		const release = await takeAddress(deployment.getEndpointAddress(options.ip, endpoint));
		hostProcess.start();
		await clock.sleep(duration);
		release();
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
	const applyFor = async (duration: Milliseconds, begin: () => void, end: () => void): Promise<void> => {
		recordDisturbance(duration);
		begin();
		await clock.sleep(duration);
		end();
	};

	const impairLink = async (link: Link | undefined, state: LinkState, duration: Milliseconds): Promise<void> => applyFor(
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

		await applyFor(duration, () => {
			cut(mode);
		}, () => {
			cut(undefined);
		});
		observations.partitions.push({hosts, from, to: clock.monotonic()});
		for (const host of hosts) {
			partitioned.delete(host);
		}
	};

	/** Kills a host and starts it again after the time `down`. */
	const restartKilledHost = async ({hostProcess}: SoakHost, down: Milliseconds): Promise<void> => {
		recordDisturbance(down + startupTime);
		await hostProcess.kill();
		await clock.sleep(down);
		hostProcess.start();
	};

	const reloadHost = (host: SoakHost | undefined, isSignalled: boolean): void => {
		if (host === undefined) {
			return;
		}

		deployment.writeSettings(host.options);
		if (isSignalled && !host.hasActiveFault) {
			host.hostProcess.reload();
		}
	};

	const raiseRate = async (burstFactor: number, duration: Milliseconds): Promise<void> => {
		rateFactor = burstFactor;
		await clock.sleep(duration);
		rateFactor = 1;
	};

	/** Lets requests with a new part that crashes upstreams come for a time; the upstreams are back some seconds after it. */
	const sendCrashingPart = async (duration: Milliseconds): Promise<void> => {
		recordDisturbance(duration + crashAftermath);
		crashingParts += 1;
		const part = `${crashingPartPrefix}${crashingParts}`;
		crashingPart = part;
		await clock.sleep(duration);
		crashingPart = crashingPart === part ? undefined : crashingPart;
	};

	const runExclusiveFault = async (fault: ExclusiveFault, host: SoakHost): Promise<void> => {
		switch (fault.kind) {
			case 'host-stop': {
				return restartHostGracefully(fault.host, host);
			}

			case 'host-kill': {
				return restartKilledHost(host, fault.down);
			}

			case 'host-pause': {
				return applyFor(fault.duration, host.hostProcess.pause, host.hostProcess.resume);
			}

			case 'host-overlap': {
				return overlapProcesses(fault.host, host, fault.overlap);
			}

			case 'taken-address': {
				return restartWithTakenAddress(host, fault.endpoint, fault.duration);
			}
		}
	};

	const runFault = async (fault: Fault): Promise<void> => {
		if (isExclusive(fault)) {
			return runHostFault(fault.host, async host => runExclusiveFault(fault, host));
		}

		const {hosts, upstreams, store} = fleet;
		switch (fault.kind) {
			case 'host-output': {
				const hostProcess = hosts[fault.host]?.hostProcess;
				return hostProcess && disturbOutput(hostProcess, fault.state, fault.duration);
			}

			case 'host-reload': {
				reloadHost(hosts[fault.host], fault.isSignalled);
				return;
			}

			case 'store-link': {
				return impairLink(hosts[fault.host]?.storeLink, fault.state, fault.duration);
			}

			case 'partition': {
				return partition(fault.hosts, fault.mode, fault.duration);
			}

			case 'upstream-link': {
				return impairLink(upstreams[fault.upstream]?.link, fault.state, fault.duration);
			}

			case 'store': {
				return applyFor(fault.duration, () => {
					store.setFailureMode(fault.mode);
				}, () => {
					store.setFailureMode(undefined);
				});
			}

			case 'upstream': {
				const fake = upstreams[fault.upstream]?.fake;
				return applyFor(fault.duration, () => fake?.setFailureMode(fault.mode), () => fake?.setFailureMode(undefined));
			}

			case 'configurations': {
				return publishConfigurations(fault.count);
			}

			case 'crashing-part': {
				return sendCrashingPart(fault.duration);
			}

			case 'burst': {
				return raiseRate(fault.factor, fault.duration);
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
		getRateFactor: () => rateFactor,
		getCrashingPart: () => crashingPart,
		getVersion: () => version,
		async waitForFaults() {
			await Promise.all(activeFaults);
		},
		getFailures: () => fleet.hosts.flatMap(({options, hostProcess}) => hostProcess.getFailures().map(failure => `${options.name} ${describeProcessFailure(failure)}`)),
	};
};
