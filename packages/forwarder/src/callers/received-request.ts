import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {ForwardedCall} from '../links/forwarded-call.js';
import type {Resumption} from '../resume/resumption.js';

/** A request that a caller has sent to this host, or that another host forwards. */
export type ReceivedRequest = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Path with query, as the caller sent it. */
	target: string;
	/** When its caller's request arrived, by the monotonic clock. */
	arrivedAt: Milliseconds;
	/** What the other host tells of it; undefined for a request of a caller. */
	forwarded: ForwardedCall | undefined;
};

/** Returns the service that the other host has chosen for a call, if the route leads there here, too. */
export const getForwardedService = (forwarded: ForwardedCall | undefined, {destinations}: Route): string | undefined =>
	destinations.find(({service}) => service === forwarded?.service)?.service;

/** Returns what a forwarded call resumes, or that its route no longer leads to the service that began the stream. */
export const getForwardedResumption = (service: string, softwareVersion: string, {destinations}: Route): Resumption =>
	destinations.some(destination => destination.service === service)
		? {kind: 'resumed', origin: {service, softwareVersion}}
		: {kind: 'refused', error: {kind: 'stream-version-gone'}};
