export {
	createMembership, type Membership, type MembershipOptions,
} from './membership.js';
export type {AnnouncementContent} from './protocol/announcement-channel.js';
export type {MemberChange} from './protocol/view.js';
export {getEligibleHosts, getOwner, getOwners} from './ownership.js';
export {getHostListResponse} from './host-answer.js';
export type {Transport} from './transport/transport.js';
export {createUdpTransport} from './transport/udp-transport.js';
export {createMemoryNetwork, type MemoryNetwork} from './transport/memory-network.js';
