import type {DutyName, DutySettings} from '@gentianlift/duties';
import {createFieldFailure} from '@gentianlift/errors';
import {isJsonObject, type JsonObject} from '@gentianlift/types';
import type {HostSettings} from './host-settings.js';

const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
/** Memory that is assumed if the settings don't name it, in megabytes. */
const assumedMemory = 250;
/** Open descriptors that are assumed if the settings don't name them. */
const assumedDescriptors = 4096;
/** Length of a window of usage and the time until its report is due, if the settings don't name them, in seconds. */
const defaultUsageWindow = 5;
const defaultUsageDelay = 10;

/** Returns a text that the settings must have; throws a failure that names the field. */
export const requireString = (raw: JsonObject, name: string): string => {
	const value = raw[name];
	if (typeof value !== 'string' || value === '') {
		throw createFieldFailure(name, value, 'a text');
	}

	return value;
};

/** Returns a number of 0 or more that the settings must have, unless there is a fallback; throws a failure that names the field. */
export const requireNumber = (raw: JsonObject, name: string, fallback?: number): number => {
	const value = raw[name] ?? fallback;
	if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
		throw createFieldFailure(name, value, 'a number of 0 or more');
	}

	return value;
};

const readStrings = (raw: JsonObject, name: string): string[] => {
	const value = raw[name] ?? [];
	if (!Array.isArray(value) || value.some(item => typeof item !== 'string')) {
		throw createFieldFailure(name, value, 'a list of texts');
	}

	return value as string[];
};

/** Returns the duty that the settings call by a name; undefined if it is none that a host knows. */
export type DutyDecoder = (name: string) => DutyName | undefined;

/** Reads the duties of the fleet; the settings file gives times in seconds but for the separation. Undefined if there are none, or the fleet may make no call for them. */
const readDuties = (raw: JsonObject, decodeDuty: DutyDecoder): DutySettings | undefined => {
	const names = readStrings(raw, 'names').flatMap(name => decodeDuty(name) ?? []);
	const callsPerSecond = requireNumber(raw, 'callsPerSecond');
	if (names.length === 0 || callsPerSecond === 0) {
		return undefined;
	}

	const usageWindow = requireNumber(raw, 'usageWindow', defaultUsageWindow) * millisecondsPerSecond;
	if (usageWindow === 0) {
		throw createFieldFailure('usageWindow', raw.usageWindow, 'more than 0');
	}

	return {
		address: requireString(raw, 'address'),
		names,
		callsPerSecond,
		holderSeparation: requireNumber(raw, 'holderSeparation'),
		usageWindow,
		usageDelay: requireNumber(raw, 'usageDelay', defaultUsageDelay) * millisecondsPerSecond,
	};
};

/** Parses the settings of a host; throws a failure that names the invalid field. Unknown fields are ignored. */
export const parseHostSettings = (raw: JsonObject, decodeDuty: DutyDecoder): HostSettings => ({
	host: requireString(raw, 'host'),
	zone: requireString(raw, 'availabilityZone'),
	capacity: requireNumber(raw, 'processorShare', 1) * requireNumber(raw, 'processorSpeed', 1),
	memory: requireNumber(raw, 'memory', assumedMemory) * bytesPerMegabyte,
	descriptors: requireNumber(raw, 'descriptors', assumedDescriptors),
	callers: requireString(raw, 'callers'),
	peers: requireString(raw, 'peers'),
	loadReports: `${requireString(raw, 'ip')}:${requireNumber(raw, 'notesPort')}`,
	knownPeers: readStrings(raw, 'knownPeers'),
	// The settings file gives `grace`, `addressLife` and `retryWindow` in seconds.
	gracePeriod: requireNumber(raw, 'grace') * millisecondsPerSecond,
	addressTtl: requireNumber(raw, 'addressLife') * millisecondsPerSecond,
	retryLimit: {
		ratio: requireNumber(raw, 'retryRatio'),
		minimum: requireNumber(raw, 'retryMinimum'),
		window: requireNumber(raw, 'retryWindow') * millisecondsPerSecond,
	},
	duties: isJsonObject(raw.duties) ? readDuties(raw.duties, decodeDuty) : undefined,
});
