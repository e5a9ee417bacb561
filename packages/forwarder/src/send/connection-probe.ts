import {connect} from 'node:net';
import {startTimeLimit, type Clock} from '@gentianlift/clock';
import {
	isAddress, splitAddress, type Address, type Milliseconds,
} from '@gentianlift/types';

/** What became of an attempt to open a connection: `refused` also stands for a reset, `failed` for any other error. */
export type ConnectionResult = 'established' | 'refused' | 'timeout' | 'failed';

const refusals = new Set(['ECONNREFUSED', 'ECONNRESET']);

const openConnection = async (address: Address, timeout: Milliseconds, clock: Clock): Promise<ConnectionResult> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const cancel = startTimeLimit(clock, timeout, () => {
		finish('timeout');
	});
	const finish = (result: ConnectionResult): void => {
		cancel();
		socket.destroy();
		resolve(result);
	};

	socket.once('connect', () => {
		finish('established');
	});
	socket.on('error', (error: Error & {code?: string}) => {
		finish(refusals.has(error.code ?? '') ? 'refused' : 'failed');
	});
});

/** Opens a connection to an address and closes it again; nothing is sent. */
export const probeConnection = async (address: Address, timeout: Milliseconds, clock: Clock): Promise<ConnectionResult> => isAddress(address) ? openConnection(address, timeout, clock) : 'failed';
