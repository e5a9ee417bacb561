import {connect} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import {getUpstreamKey, type Upstream, type UpstreamKey} from '@gentianlift/routing';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** Detects whether an upstream has crashed after a connection to it was lost. */
export type CrashDetector = {
	/** Resolves to true if the upstream refuses or resets a new connection. Concurrent calls for one upstream share a probe. */
	detectCrash: (upstream: Upstream) => Promise<boolean>;
};

/** Delay after a connection loss; a crashed process no longer listens by then. */
const probeDelay: Milliseconds = 20;
/** Time without a result after which an upstream counts as not crashed. */
const probeTimeout: Milliseconds = 300;

const isRefusedOrReset = async (address: Address, clock: Clock): Promise<boolean> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const cancel = clock.after(probeTimeout, () => {
		finish(false);
	});
	const finish = (result: boolean): void => {
		cancel();
		socket.destroy();
		resolve(result);
	};

	socket.once('connect', () => {
		finish(false);
	});
	socket.on('error', (error: Error & {code?: string}) => {
		finish(error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET');
	});
});

/** Creates a detector. */
export const createCrashDetector = (clock: Clock): CrashDetector => {
	const pendingProbes = new Map<UpstreamKey, Promise<boolean>>();

	const probe = async (upstream: Upstream): Promise<boolean> => {
		await clock.sleep(probeDelay);
		try {
			return await isRefusedOrReset(upstream.address, clock);
		} finally {
			pendingProbes.delete(getUpstreamKey(upstream));
		}
	};

	return {
		async detectCrash(upstream) {
			const key = getUpstreamKey(upstream);
			const pending = pendingProbes.get(key) ?? probe(upstream);
			pendingProbes.set(key, pending);
			return pending;
		},
	};
};
