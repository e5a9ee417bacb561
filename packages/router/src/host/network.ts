import {parseConfiguration} from '@gentianlift/config';
import {createConfigurationFollower} from '@gentianlift/distribution';
import {createMembership, createUdpTransport} from '@gentianlift/membership';
import {createPeerCalls} from '@gentianlift/peers';
import type {Infrastructure} from './infrastructure.js';
import {createFleet} from './fleet.js';

/** Creates the components that communicate with other hosts: membership, peer calls and the distribution of the configuration. */
export const createNetwork = (infrastructure: Infrastructure) => {
	const {
		settings, incarnation, clock, random, metrics, keyValue,
	} = infrastructure;
	const {
		host, zone, callerAddress, peerAddress, gossipAddress,
	} = settings;
	const membership = createMembership({
		clock,
		random,
		metrics,
		self: {
			host, incarnation, zone, callerAddress, peerAddress, gossipAddress,
		},
		seeds: settings.seeds,
		keys: settings.peerKeys,
		transport: createUdpTransport(gossipAddress),
		hostList: infrastructure.hostList,
	});
	const fleet = createFleet(membership.getMembers, settings.addressTimeToLive, random);
	const peers = createPeerCalls({
		self: host,
		keys: settings.peerKeys,
		getAddress: other => fleet.getMember(other)?.peerAddress,
		clock,
		metrics,
		timeout: settings.silenceLimits.peer,
	});
	const follower = createConfigurationFollower({
		clock, random, metrics, keyValue, peers, self: host, parse: parseConfiguration, getMembers: fleet.getMembers, getOwners: fleet.getOwners,
	});
	membership.onChange(({after}) => {
		follower.recordAdvertisedVersion(after.host, after.configurationVersion);
		if (after.state === 'gone') {
			peers.closeAllExcept(fleet.getMembers().filter(({state}) => state !== 'gone').map(member => member.host));
		}
	});
	follower.onChange(({version}) => {
		membership.setConfigurationVersion(version);
	});
	return {
		membership, fleet, peers, follower,
	};
};

/** Components that communicate with other hosts. */
export type Network = ReturnType<typeof createNetwork>;
