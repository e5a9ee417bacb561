import type {Logger} from '@gentianlift/logger';
import type {HostId} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';
import type {Message} from './packet.js';

/** Called with the body of a message and the host that sent it; the body is JSON that nobody has checked. */
export type MessageListener = (from: HostId, body: unknown) => void;

/** Small messages to a few hosts. Each is one datagram, which may be lost, repeated or overtaken. */
export type HostMessages = {
	/** Sends a message to hosts; those that aren't known are passed over, and this host itself gets it without the network. */
	send: (topic: string, body: unknown, to: readonly HostId[]) => void;
	/** Adds a listener to a topic; messages without a listener are ignored. */
	listen: (topic: string, listener: MessageListener) => void;
};

/** Options of the messages. */
export type HostMessagesOptions = {
	/** This host. */
	own: HostId;
	getOthers: () => readonly HostRecord[];
	/** Sends a message as one datagram to each host. */
	send: (message: Message, targets: readonly HostRecord[]) => void;
	logger: Logger;
};

/** Messages of a host, which also takes in those that have arrived. */
export type ReceivingMessages = HostMessages & {receive: (from: HostId, message: Message) => void};

/** Creates the messages of a host without listeners. */
export const createHostMessages = ({
	own, getOthers, send, logger,
}: HostMessagesOptions): ReceivingMessages => {
	const listenersByTopic = new Map<string, MessageListener[]>();

	const receive = (from: HostId, {topic, body}: Message): void => {
		for (const listener of listenersByTopic.get(topic) ?? []) {
			try {
				listener(from, body);
			} catch (error) {
				logger.error('message-failed', {topic, from, reason: (error as Error).stack});
			}
		}
	};

	return {
		send(topic, body, to) {
			if (to.includes(own)) {
				// Not at once, so that a listener never runs within the call of its own sender.
				queueMicrotask(() => {
					receive(own, {topic, body});
				});
			}

			const targets = getOthers().filter(({host}) => to.includes(host));
			if (targets.length > 0) {
				send({topic, body}, targets);
			}
		},
		listen(topic, listener) {
			listenersByTopic.set(topic, [...(listenersByTopic.get(topic) ?? []), listener]);
		},
		receive,
	};
};
