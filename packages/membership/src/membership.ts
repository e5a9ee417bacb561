import type {Cancel, Clock, Random} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {
	HostList, Member, Announcement, AnnouncementTopic, Settings,
} from '@gentianlift/types';
import {createAnnouncementChannel, type AnnouncementChannel, type AnnouncementContent} from './protocol/announcement-channel.js';
import {createPacketSender} from './protocol/packet-sender.js';
import {createProtocolPeriod, type ProtocolPeriod} from './protocol/protocol-period.js';
import {createProber} from './protocol/prober.js';
import {readHostList} from './protocol/read-host-list.js';
import {createReceiver, type Receiver} from './protocol/receiver.js';
import {createHostDiscovery, type HostDiscovery} from './protocol/host-discovery.js';
import {createDisseminator, type Disseminator} from './protocol/disseminator.js';
import {
	gossipInterval, partitionHealInterval, joinInterval, hostListInterval, probeInterval,
} from './protocol/timing.js';
import {createView, type MemberChange, type View} from './protocol/view.js';
import type {Transport} from './transport/transport.js';
import {createDatagramSigner} from './wire/datagram-signer.js';

/** Membership of the fleet as this host sees it. */
export type Membership = {
	/** Takes the address of the transport, without joining the fleet or answering anyone; rejects if it can't be bound. */
	listen: () => Promise<void>;
	/** Starts receiving and joining the fleet; resolves once the transport listens. */
	start: () => Promise<void>;
	/** Notifies the other hosts that this host is gone, and stops. */
	stop: () => void;
	/** Returns all known hosts, this one included. */
	getMembers: () => Member[];
	/** Calls the listener for each member that is new or that changes in anything other than its load. */
	onChange: (listener: (change: MemberChange) => void) => Cancel;
	setDraining: (isDraining: boolean) => void;
	setConfigurationVersion: (version: number) => void;
	/** Sets how loaded this host is, from 0 to 1. */
	setLoad: (load: number) => void;
	/** Publishes an announcement to all hosts; returns false when it is too long. */
	publishAnnouncement: (content: AnnouncementContent) => boolean;
	/** Calls the listener for each new announcement, those of this host included. */
	onAnnouncement: (listener: (announcement: Announcement) => void) => Cancel;
	getAnnouncements: (topic: AnnouncementTopic) => Announcement[];
};

/** Dependencies and options of the membership. */
export type MembershipOptions = {
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: Pick<Member, 'host' | 'incarnation' | 'zone' | 'callerAddress' | 'peerAddress' | 'gossipAddress'>;
	seeds: Settings['seeds'];
	/** Keys that authenticate datagrams: the first signs, and signatures of any are accepted. */
	keys: string[];
	transport: Transport;
	hostList?: HostList;
};

/** Smallest change of the load that is disseminated. */
const minLoadChange = 0.02;

type Components = MembershipOptions & {
	view: View;
	protocolPeriod: ProtocolPeriod;
	disseminator: Disseminator;
	hostDiscovery: HostDiscovery;
	announcementChannel: AnnouncementChannel;
	receiver: Receiver;
};

const createComponents = (options: MembershipOptions): Components => {
	const {clock, metrics, self, transport, random, seeds} = options;
	const view = createView(clock, {
		...self, revision: 0, liveness: 'alive', isDraining: false, attributeRevision: 0, configurationVersion: 0, load: 0,
	});
	const signer = createDatagramSigner(options.keys);
	const packetSender = createPacketSender({
		view, signer, transport, metrics,
	});
	const shared = {
		clock, random, view, packetSender,
	};
	const prober = createProber(shared);
	const disseminator = createDisseminator(shared);
	const announcementChannel = createAnnouncementChannel(view, self.host, self.incarnation);
	const receiver = createReceiver({
		view, signer, packetSender, prober, metrics, announcementChannel, disseminator,
	});
	return {
		...options,
		view,
		disseminator,
		announcementChannel,
		receiver,
		protocolPeriod: createProtocolPeriod({
			clock, metrics, view, prober,
		}),
		hostDiscovery: createHostDiscovery({
			random, view, packetSender, disseminator, seeds,
		}),
	};
};

const startTimers = ({clock, protocolPeriod, disseminator, hostDiscovery, hostList, view}: Components): Cancel[] => {
	const {every} = clock;
	const readHosts = (): void => {
		if (hostList !== undefined) {
			void readHostList(hostList, view, clock);
		}
	};

	protocolPeriod.reset();
	hostDiscovery.joinFleet();
	readHosts();
	return [
		every(probeInterval, protocolPeriod.run),
		every(gossipInterval, disseminator.sendUrgentGossip),
		every(joinInterval, hostDiscovery.joinFleet),
		every(partitionHealInterval, hostDiscovery.healPartition),
		every(hostListInterval, readHosts),
	];
};

/** Creates the membership of this host. */
export const createMembership = (options: MembershipOptions): Membership => {
	const components = createComponents(options);
	const {view, disseminator, announcementChannel, transport, receiver} = components;
	let timers: Cancel[] = [];
	let listening: Promise<void> | undefined;
	let isStarted = false;
	const listen = async (): Promise<void> => {
		listening ??= transport.start(datagram => {
			if (isStarted) {
				receiver.receive(datagram);
			}
		});
		await listening;
	};

	return {
		listen,
		async start() {
			await listen();
			isStarted = true;
			timers = startTimers(components);
		},
		stop() {
			for (const cancel of timers.splice(0)) {
				cancel();
			}

			view.updateSelf({liveness: 'gone'}, true);
			disseminator.sendFinalGossip();
			transport.stop();
		},
		getMembers: view.getMembers,
		onChange: view.onChange,
		setDraining(isDraining) {
			view.updateSelf({isDraining}, true);
		},
		setConfigurationVersion(configurationVersion) {
			view.updateSelf({configurationVersion}, false);
			disseminator.sendUrgentGossip();
		},
		setLoad(load) {
			const clampedLoad = Math.min(1, Math.max(0, load));
			if (Math.abs(clampedLoad - view.getSelf().load) >= minLoadChange) {
				view.updateSelf({load: clampedLoad}, false);
			}
		},
		publishAnnouncement(content) {
			const isPublished = announcementChannel.publish(content);
			disseminator.sendUrgentGossip();
			return isPublished;
		},
		onAnnouncement: announcementChannel.onAnnouncement,
		getAnnouncements: announcementChannel.getByTopic,
	};
};
