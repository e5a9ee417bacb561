import {isIPv4, isIPv6} from 'node:net';
import {z} from 'zod';

const maxPort = 65_535;
const maxNameLength = 120;
const addressPattern = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;
const namePattern = /^[\w\-.:\/]+$/v;

const isAddress = (text: string): boolean => {
	const groups = addressPattern.exec(text)?.groups;
	if (groups === undefined) {
		return false;
	}

	const port = Number(groups.port);
	const isIpAddress = groups.v6 === undefined ? isIPv4(groups.v4 ?? '') : isIPv6(groups.v6);
	return isIpAddress && port > 0 && port <= maxPort;
};

const isHttpUrl = (text: string): boolean => {
	const {protocol} = URL.canParse(text) ? new URL(text) : {protocol: ''};
	return protocol === 'http:' || protocol === 'https:';
};

/** Names that `Intl` has accepted as time zones. */
const validTimeZones = new Set<string>();

/** Whether a name is a time zone. Valid names are cached, since a look-up is slow and most customers share a few time zones. */
const isTimeZone = (name: string): boolean => {
	if (validTimeZones.has(name)) {
		return true;
	}

	try {
		const isKnown = /^[A-Z]/v.test(name) && new Intl.DateTimeFormat('en', {timeZone: name}).resolvedOptions().timeZone !== '';
		if (isKnown) {
			validTimeZones.add(name);
		}

		return isKnown;
	} catch {
		return false;
	}
};

/** A name in the inventory, the rules or the settings. */
export const nameField = z.string().max(maxNameLength).regex(namePattern, 'a name of letters, digits and -_.:/');

/** An IP address and a port. */
export const addressField = z.string().refine(isAddress, 'an IP address and a port, such as 127.0.0.1:8000 or [::1]:8000');

/** The base URL of a platform service. */
export const urlField = z.string().refine(isHttpUrl, 'an http or https URL');

/** An IANA time zone. */
export const timeZoneField = z.string().refine(isTimeZone, 'an IANA time zone, such as Europe/Athens');

/** A duration in milliseconds. */
export const durationField = z.int().positive();

/** A count of at least 1. */
export const countField = z.int().positive();

/** A fraction from 0 to 1. */
export const fractionField = z.number().min(0).max(1);
