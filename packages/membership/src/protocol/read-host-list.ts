import type {Clock} from '@gentianlift/clock';
import type {HostList} from '@gentianlift/types';
import {probeInterval} from './timing.js';
import type {View} from './view.js';

/** Reads the host list into the view, and shortens the suspicion timeout of hosts that are absent from it. */
export const readHostList = async (hostList: HostList, view: View, clock: Clock): Promise<void> => {
	const list = await hostList.readHosts();
	if (list === undefined) {
		return;
	}

	view.refreshHostList(() => {
		view.listedHosts.update(list, clock.now(), host => view.table.get(host)?.incarnation);
	});
	for (const {host} of view.table.getAll().filter(entry => view.listedHosts.isMissing(entry.host))) {
		view.suspicions.shortenTimeout(host, probeInterval);
	}
};
