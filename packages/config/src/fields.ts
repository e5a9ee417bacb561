import {isIPv4, isIPv6} from 'node:net';
import {z} from 'zod';

const highestPort = 65_535;
const longestName = 120;
const addressParts = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;
const namePattern = /^[\w\-.:\/]+$/v;

const isAddress = (text: string): boolean => {
	const groups = addressParts.exec(text)?.groups;
	if (groups === undefined) {
		return false;
	}

	const port = Number(groups.port);
	const isHost = groups.v6 === undefined ? isIPv4(groups.v4 ?? '') : isIPv6(groups.v6);
	return isHost && port > 0 && port <= highestPort;
};

const isHttpUrl = (text: string): boolean => {
	const {protocol} = URL.canParse(text) ? new URL(text) : {protocol: ''};
	return protocol === 'http:' || protocol === 'https:';
};

const validTimeZones = new Set<string>();

/** Looks each name up once, since a look-up is slow and customers share few zones. */
const isTimeZone = (name: string): boolean => {
	if (validTimeZones.has(name)) {
		return true;
	}

	try {
		const isNamed = /^[A-Z]/v.test(name) && new Intl.DateTimeFormat('en', {timeZone: name}).resolvedOptions().timeZone !== '';
		if (isNamed) {
			validTimeZones.add(name);
		}

		return isNamed;
	} catch {
		return false;
	}
};

/** A name of the inventory or the rules. */
export const nameField = z.string().max(longestName).regex(namePattern, 'a name of letters, digits and -_.:/');

/** An IP address and a port. */
export const addressField = z.string().refine(isAddress, 'an IP address and a port, such as 127.0.0.1:8000 or [::1]:8000');

/** The base URL of a service of the platform. */
export const urlField = z.string().refine(isHttpUrl, 'an http or https URL');

/** An IANA time zone. */
export const timeZoneField = z.string().refine(isTimeZone, 'an IANA time zone, such as Europe/Athens');

/** A span of time in milliseconds. */
export const durationField = z.int().positive();

/** A count of at least one. */
export const countField = z.int().positive();

/** A share from 0 to 1. */
export const shareField = z.number().min(0).max(1);
