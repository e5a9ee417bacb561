import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {Deployment, HostEndpoint} from './deployment.js';
import type {SoakHost} from './fleet.js';
import type {Disturbance, Observations} from './guarantees.js';
import type {ExclusiveFault} from './schedule.js';
import {takeAddress} from './taken-address.js';

/** Dependencies of faults that stop, kill or pause a host. */
export type ExclusiveFaultOptions = {
	deployment: Deployment;
	clock: Clock;
	observations: Observations;
	/** Runs an unplanned fault and records its time. */
	disturb: (kind: Disturbance['kind'], run: () => Promise<void>) => Promise<void>;
};

/** Runs a fault of a host; resolves when it has ended and the host's next process has been started. */
export type ExclusiveFaultRunner = (fault: ExclusiveFault, host: SoakHost) => Promise<void>;

/** Creates the runner of faults that stop, kill or pause a host. */
export const createExclusiveFaultRunner = ({deployment, clock, observations, disturb}: ExclusiveFaultOptions): ExclusiveFaultRunner => {
	/** Stops a host gracefully and records the shutdown. */
	const stopHost = async (index: number, {options, hostProcess}: SoakHost): Promise<void> => {
		const shutdown = {host: index, from: clock.monotonic(), to: Number.POSITIVE_INFINITY};
		observations.shutdowns.push(shutdown);
		await hostProcess.stop(options.grace);
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
		await hostProcess.kill();
		const release = await takeAddress(deployment.getEndpointAddress(options.ip, endpoint));
		hostProcess.start();
		await clock.sleep(duration);
		release();
	};

	/** Kills a host and starts it again after the time `down`. */
	const restartKilledHost = async ({hostProcess}: SoakHost, down: Milliseconds): Promise<void> => {
		await hostProcess.kill();
		await clock.sleep(down);
		hostProcess.start();
	};

	const pauseHost = async ({hostProcess}: SoakHost, duration: Milliseconds): Promise<void> => {
		hostProcess.pause();
		await clock.sleep(duration);
		hostProcess.resume();
	};

	return async (fault, host) => {
		switch (fault.kind) {
			case 'host-stop': {
				return restartHostGracefully(fault.host, host);
			}

			case 'host-kill': {
				return disturb(fault.kind, async () => restartKilledHost(host, fault.down));
			}

			case 'host-pause': {
				return disturb(fault.kind, async () => pauseHost(host, fault.duration));
			}

			case 'host-overlap': {
				return overlapProcesses(fault.host, host, fault.overlap);
			}

			case 'taken-address': {
				return disturb(fault.kind, async () => restartWithTakenAddress(host, fault.endpoint, fault.duration));
			}
		}
	};
};
