import type {Milliseconds} from '@gentianlift/types';
import {readHostStatuses, type HostStatus} from '../host-status.js';
import type {Session} from '../session.js';

/** Whether a version is in force at a host. */
export type InForce = {host: string; inForce: boolean; version: number | undefined; state: string};

const waitLimit: Milliseconds = 8000;
const interval: Milliseconds = 250;

const getInForce = ({host, version, state}: HostStatus, wanted: number): InForce =>
	({
		host, inForce: version !== undefined && version >= wanted, version, state,
	});

/** Waits until a version, or a newer one, is in force at every host, up to a limit. */
export const waitInForce = async (session: Session, version: number): Promise<InForce[]> => {
	const {clock} = session;
	const end = clock.monotonic() + waitLimit;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- Each round asks anew.
		const statuses = await readHostStatuses(session);
		const hosts = statuses.map(status => getInForce(status, version));
		if (hosts.every(({inForce}) => inForce) || clock.monotonic() >= end) {
			return hosts;
		}

		// eslint-disable-next-line no-await-in-loop -- A wait between two rounds.
		await clock.sleep(interval);
	}
};
