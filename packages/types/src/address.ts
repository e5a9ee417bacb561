import type {Address} from './ids.js';

/** Splits an address into its IP address, an IPv6 one without brackets, and its port. */
export const splitAddress = (address: Address): {host: string; port: number} => {
	const at = address.lastIndexOf(':');
	return {host: address.slice(0, at).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(at + 1))};
};
