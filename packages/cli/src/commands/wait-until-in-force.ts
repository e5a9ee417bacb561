import type {Milliseconds} from '@gentianlift/types';
import {readHostStatuses, type HostStatus} from '../host-status.js';
import type {Session} from '../session.js';

/** Version that a host has in force, and whether it is the expected one or a newer one. */
export type VersionInForce = {host: string; inForce: boolean; version: number | undefined; state: string};

const maxWait: Milliseconds = 8000;
const pollInterval: Milliseconds = 250;

const getVersionInForce = ({host, version, state}: HostStatus, expectedVersion: number): VersionInForce =>
	({
		host, inForce: version !== undefined && version >= expectedVersion, version, state,
	});

/** Polls the hosts until every one has the version or a newer one in force, for at most `maxWait`. */
export const waitUntilInForce = async (session: Session, version: number): Promise<VersionInForce[]> => {
	const {clock} = session;
	const deadline = clock.monotonic() + maxWait;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- Each round polls the hosts again.
		const statuses = await readHostStatuses(session);
		const hosts = statuses.map(status => getVersionInForce(status, version));
		if (hosts.every(({inForce}) => inForce) || clock.monotonic() >= deadline) {
			return hosts;
		}

		// eslint-disable-next-line no-await-in-loop -- The interval between two polls.
		await clock.sleep(pollInterval);
	}
};
