import type {Random} from '@gentianlift/clock';
import type {Settings} from '@gentianlift/types';
import type {PacketSender, Target} from './packet-sender.js';
import type {Disseminator} from './disseminator.js';
import type {View} from './view.js';

/** Contacts hosts that are gone or unknown, to join the fleet and to merge its parts after a network partition. */
export type HostDiscovery = {
	/** Requests the table of a seed or a formerly known host, unless this host knows any host that isn't gone. */
	joinFleet: () => void;
	/** Contacts a random host that is gone, or a seed that isn't known, so that the parts of a partitioned fleet merge again. */
	healPartition: () => void;
};

/** Dependencies of the host discovery. */
export type HostDiscoveryOptions = {random: Random; view: View; packetSender: PacketSender; disseminator: Disseminator; seeds: Settings['seeds']};

/** Creates the host discovery. */
export const createHostDiscovery = ({random, view, packetSender, disseminator, seeds}: HostDiscoveryOptions): HostDiscovery => {
	const {host: self} = view.getSelf();

	const getAbsentHosts = (): Target[] => {
		const gone = view.table.getAll().filter(({liveness}) => liveness === 'gone');
		const unknown = seeds.filter(({host}) => view.table.get(host) === undefined && host !== self);
		return [...gone, ...unknown];
	};

	return {
		joinFleet() {
			const target = random.pick(getAbsentHosts());
			if (target !== undefined && view.table.getPresentEntries().length === 1) {
				disseminator.requestTable(target);
			}
		},
		healPartition() {
			const target = random.pick(getAbsentHosts());
			if (target === undefined) {
				return;
			}

			if (view.table.get(target.host) === undefined) {
				disseminator.requestTable(target);
			} else {
				packetSender.send(target, {kind: 'ping'});
			}
		},
	};
};
