import type {Address} from './ids.js';

/** Splits an address into its IP address and its port; brackets around an IPv6 address are removed. */
export const splitAddress = (address: Address): {host: string; port: number} => {
	const separatorIndex = address.lastIndexOf(':');
	return {host: address.slice(0, separatorIndex).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(separatorIndex + 1))};
};

const addressPattern = /^(?<octets>(?:\d{1,3}\.){3}\d{1,3}):(?<port>\d{1,5})$/v;
const maxOctet = 255;
const maxPort = 65_535;

/** Whether a number is written without leading zeros and at most `maximum`. */
const isNumberUpTo = (digits: string, maximum: number): boolean => String(Number(digits)) === digits && Number(digits) <= maximum;

/** Whether a text is an address that a connection can be opened to: an IPv4 address and a port other than 0. */
export const isAddress = (text: string): text is Address => {
	const {octets, port} = addressPattern.exec(text)?.groups ?? {};
	return octets !== undefined && port !== undefined
		&& octets.split('.').every(octet => isNumberUpTo(octet, maxOctet)) && port !== '0' && isNumberUpTo(port, maxPort);
};
