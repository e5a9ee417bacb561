import type {Clock} from '@gentianlift/clock';
import type {HostList} from '@gentianlift/types';
import {probePeriod} from './timing.js';
import type {View} from './view.js';

/** Reads the host list into the view, and brings the end of suspected hosts forward that it doesn't have. */
export const readList = async (hostList: HostList, view: View, clock: Clock): Promise<void> => {
	const list = await hostList.readHosts();
	if (list === undefined) {
		return;
	}

	view.refreshListed(() => {
		view.listed.update(list, clock.now(), host => view.table.get(host)?.incarnation);
	});
	for (const {host} of view.table.getAll().filter(entry => view.listed.isMissing(entry.host))) {
		view.suspicions.shorten(host, probePeriod);
	}
};
