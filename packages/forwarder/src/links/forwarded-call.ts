import {forwardedCallPath} from '@gentianlift/discovery';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** What a host that forwards a call tells the one that it forwards it to. */
export type ForwardedCall = {
	/** Host that received the call from its caller. */
	from: HostId;
	/** Time since it arrived there. */
	age: Milliseconds;
	/** Version of the configuration that admitted it there. */
	version: number;
	service: string;
	/** Attempts so far that may have executed it. */
	possibleExecutions: number;
	/** Id of the last event that its caller has, and the software version that began its stream, if it resumes one; `hasBegun` if the caller has the head of the answer already, so that only a stream can follow. */
	resumption?: {lastEventId: number; softwareVersion: string; hasBegun?: boolean};
};

/** A forwarded call and its request target, as its caller sent it. */
export type ForwardedTarget = {forwarded: ForwardedCall; target: string};

const isCount = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isResumption = (value: unknown): boolean => {
	const {lastEventId, softwareVersion, hasBegun = false} = (value ?? {}) as Partial<NonNullable<ForwardedCall['resumption']>>;
	return value === undefined || (isCount(lastEventId) && typeof softwareVersion === 'string' && typeof hasBegun === 'boolean');
};

const isForwardedCall = (value: unknown): value is ForwardedCall => {
	const {from, age, version, service, possibleExecutions, resumption} = (value ?? {}) as Partial<ForwardedCall>;
	return [from, service].every(text => typeof text === 'string') && [age, version, possibleExecutions].every(count => isCount(count)) && isResumption(resumption);
};

const parse = (text: string): unknown => {
	try {
		return JSON.parse(decodeURIComponent(text));
	} catch {
		return undefined;
	}
};

/** Returns the target of the request to the other host: what it is told, as JSON in one segment of the path, and then the caller's target. */
export const encodeForwardedCall = ({forwarded, target}: ForwardedTarget): string =>
	`${forwardedCallPath}${encodeURIComponent(JSON.stringify(forwarded))}${target}`;

/** Reads the target of a request from another host; returns undefined if it is malformed. */
export const decodeForwardedCall = (url: string): ForwardedTarget | undefined => {
	const rest = url.slice(forwardedCallPath.length);
	const end = rest.indexOf('/');
	const forwarded = parse(rest.slice(0, end));
	return end > 0 && isForwardedCall(forwarded) ? {forwarded, target: rest.slice(end)} : undefined;
};
