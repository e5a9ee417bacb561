import {connect} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import {getUpstreamKey, type Upstream, type UpstreamKey} from '@gentianlift/routing';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** Tells whether an upstream has crashed, after a connection to it broke. */
export type CrashWatch = {
	/** Resolves to true if the upstream's process is gone. Calls at one moment share one connection. */
	checkCrash: (upstream: Upstream) => Promise<boolean>;
};

/** Time after a break at which a crashed process has stopped to listen. */
const checkDelay: Milliseconds = 20;
const checkLimit: Milliseconds = 300;

const isRefused = async (address: Address, clock: Clock): Promise<boolean> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const cancel = clock.after(checkLimit, () => {
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

/** Creates a watch. */
export const createCrashWatch = (clock: Clock): CrashWatch => {
	const checks = new Map<UpstreamKey, Promise<boolean>>();

	const check = async (upstream: Upstream): Promise<boolean> => {
		await clock.sleep(checkDelay);
		try {
			return await isRefused(upstream.address, clock);
		} finally {
			checks.delete(getUpstreamKey(upstream));
		}
	};

	return {
		async checkCrash(upstream) {
			const key = getUpstreamKey(upstream);
			const running = checks.get(key) ?? check(upstream);
			checks.set(key, running);
			return running;
		},
	};
};
